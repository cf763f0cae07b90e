#include <utility>

#include "entry/internal/usage_reporting.h"

namespace oriole::entry {

usage_reporting::usage_reporting(const boost::asio::any_io_executor& executor,
                                 const usage::usage_settings& settings,
                                 const fleet::registered_instance& own, fleet_state& fleet,
                                 peer_exchange& peers, usage::usage_order_store& orders,
                                 std::unique_ptr<usage::usage_authority> authority,
                                 decision_log& log, metric_registry& metrics)
    : m_fleet(fleet),
      m_authority(std::move(authority)),
      m_time(own.id, usage::system_wall_clock()),
      m_duty(own.id, settings),
      m_collector(executor, settings, own, fleet, peers.link(), peers.server(), m_time, m_duty),
      m_reporter(executor, m_duty, *this, orders, *m_authority, log, metrics) {
    peers.exchange_clocks(m_time);
}

usage::report_situation usage_reporting::situation() const {
    usage::report_situation result;
    result.now = boot_clock().now();
    result.time = m_time.now();
    for (const auto& watcher : m_fleet.all_watchers()) {
        result.candidates.push_back(watcher.id);
    }
    return result;
}

} // namespace oriole::entry
