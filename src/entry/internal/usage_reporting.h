#pragma once

#include <utility>

#include "entry/fleet_store.h"
#include "entry/internal/peer_exchange.h"
#include "entry/internal/usage_collector.h"
#include "entry/internal/usage_reporter.h"
#include "entry/internal/usage_time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace oriole::entry {

/// The parts of one instance that report usage. It exists only where the settings ask for usage
/// reports. Not thread-safe; runs on the control thread.
class usage_reporting final : private usage_sources {
public:
    /// All references must outlive this object.
    usage_reporting(const boost::asio::any_io_executor& executor,
                    const usage::usage_settings& settings, const fleet::registered_instance& own,
                    fleet_state& fleet, peer_exchange& peers, usage::usage_order_store& orders,
                    std::unique_ptr<usage::usage_authority> authority, decision_log& log,
                    metric_registry& metrics);

    [[nodiscard]] usage_collector& collector() { return m_collector; }

    [[nodiscard]] usage_reporter& reporter() { return m_reporter; }

private:
    [[nodiscard]] usage::report_situation situation() const override;

    [[nodiscard]] boost::asio::awaitable<usage::gathered_counts>
    gather(std::int64_t window) override {
        return m_collector.gather(window);
    }

    void announce_order() override { m_collector.announce_order(); }

    fleet_state& m_fleet;
    std::unique_ptr<usage::usage_authority> m_authority;
    usage_time m_time;
    usage::report_duty m_duty;
    usage_collector m_collector;
    usage_reporter m_reporter;
};

} // namespace oriole::entry
