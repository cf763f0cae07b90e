#pragma once

#include "app/internal/share_publisher.h"
#include "app/internal/traffic_control.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>

namespace oriole::app {

/// Posts to each traffic thread of this instance its slice of the rate shares. Used on the control
/// thread.
class thread_share_publisher final : public share_publisher {
public:
    /// `executor` runs on the control thread. Precondition: `traffic` outlives this object.
    thread_share_publisher(boost::asio::any_io_executor executor, traffic_control& traffic);

    void publish(const contracts::thread_shares& slices, std::function<void()> on_applied) override;

private:
    boost::asio::any_io_executor m_executor;
    traffic_control& m_traffic;
};

} // namespace oriole::app
