#pragma once

#include "app/internal/audit_trail.h"
#include "app/internal/control_plane.h"
#include "base/random_source.h"
#include "links/platform_link.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <string>

namespace oriole::app {

/// Writes audit entries for the changes of primary that this instance makes automatically. They are
/// stored at the platform below `audit/`. Used on the control thread.
class audit_recorder {
public:
    /// Precondition: the references outlive this object and the executor's work.
    audit_recorder(boost::asio::any_io_executor executor, links::platform_link& platform,
                   random_source& random, const instance_id& self, const control_plane& control);

    /// Looks for new changes at a fixed interval until the executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Waits a short time for entries that are still being written.
    [[nodiscard]] boost::asio::awaitable<void> finish();

private:
    void record_new_entries();
    [[nodiscard]] boost::asio::awaitable<void> write(std::string path, std::string text,
                                                     std::string operation);
    [[nodiscard]] boost::asio::awaitable<bool> attempt(std::string path, std::string text,
                                                       std::string operation);

    boost::asio::any_io_executor m_executor;
    links::platform_link& m_platform;
    random_source& m_random;
    const control_plane& m_control;
    audit_trail m_trail;
    std::size_t m_pending_writes = 0;
};

} // namespace oriole::app
