#include <utility>

#include "entry/internal/lease_revoker.h"

#include "entry/internal/pause.h"

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Pause before the instances that have not answered are told again.
constexpr clock::duration announcement_interval = 100ms;

std::map<instance_id, zone_name>
zones_of(const std::vector<fleet::registered_instance>& instances) {
    std::map<instance_id, zone_name> zones;
    for (const auto& instance : instances) {
        zones[instance.id] = instance.zone;
    }
    return zones;
}

} // namespace

asio::awaitable<bool> lease_revoker::reaches_majority(service_name service) {
    const auto holders = m_fleet.lease_holders(service);
    const auto zones = zones_of(holders);
    std::set<zone_name> reached{m_fleet.own_zone()};
    const auto answers = co_await m_peers.ask(holders);
    for (const auto& answer : answers) {
        if (answer.answered) {
            reached.insert(zones.at(answer.from));
        }
    }
    co_return reached.size() >= fleet::majority_of(m_fleet.zone_count());
}

asio::awaitable<bool> lease_revoker::revoke(fleet::promotion_order order,
                                            std::function<bool()> old_primary_stopped) {
    fleet::lease_revocation revocation(zones_of(m_fleet.lease_holders(order.service)),
                                       m_fleet.zone_count(), boot_clock().now());
    revocation.released(m_fleet.own(), boot_clock().now());
    bool waited = false;
    while (true) {
        co_await announce(order, revocation);
        if (superseded(order)) {
            co_return false;
        }
        if (old_primary_stopped()) {
            revocation.old_primary_stopped();
        }
        const auto now = boot_clock().now();
        const auto safe_at = revocation.safe_at(now);
        if (safe_at && *safe_at <= now) {
            // After a wait, another instance may have ordered a promotion meanwhile.
            bool confirmed = true;
            if (waited) {
                confirmed = co_await reaches_majority(order.service);
            }
            if (superseded(order)) {
                co_return false;
            }
            if (confirmed) {
                co_return true;
            }
        }
        if (!waited) {
            waited = true;
            m_log.write(log_entry("lease_revocation")
                            .add("service", order.service.str())
                            .add("fence", order.fence)
                            .add("silent_instances", revocation.pending().size())
                            .add("outcome", safe_at ? "waits_for_expiry" : "waits_for_majority"));
        }
        co_await pause(m_executor, announcement_interval);
    }
}

bool lease_revoker::superseded(const fleet::promotion_order& order) const {
    return m_fleet.known_order_fence(order.service) > order.fence;
}

asio::awaitable<void> lease_revoker::announce(const fleet::promotion_order& order,
                                              fleet::lease_revocation& revocation) {
    auto holders = m_fleet.lease_holders(order.service);
    const auto pending = revocation.pending();
    std::erase_if(holders, [&](const auto& holder) { return !pending.contains(holder.id); });
    const auto answers = co_await m_peers.ask(std::move(holders));
    for (const auto& answer : answers) {
        const auto known = answer.orders.find(order.service);
        if (known != answer.orders.end() && known->second.fence >= order.fence) {
            revocation.released(answer.from, boot_clock().now());
        }
    }
}

} // namespace oriole::entry
