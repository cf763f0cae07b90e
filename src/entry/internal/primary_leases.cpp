#include <utility>

#include "entry/internal/primary_leases.h"

#include <algorithm>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// How long an answer of another zone shows that this instance knows that zone's orders. It spans
/// two polls.
constexpr clock::duration contact_lifetime = 2500ms;

} // namespace

void primary_leases::add_services(const std::set<service_name>& services) {
    for (const auto& service : services) {
        if (!m_leases.contains(service)) {
            static_cast<void>(lease_of(service));
            m_changed.insert(service);
        }
    }
}

bool primary_leases::learn(const fleet::promotion_order& order) {
    if (order.fence == 0 || !lease_of(order.service).learn(order.fence, order.target)) {
        return false;
    }
    m_changed.insert(order.service);
    return true;
}

void primary_leases::record_answer(const peer_report& answer, const zone_name& zone,
                                   clock::time_point asked, const fleet::role_assignment& roles) {
    if (answer.knows_orders) {
        const bool had_contact = heard_from_majority(asked);
        auto& heard = m_heard_from.try_emplace(zone, asked).first->second;
        heard = std::max(heard, asked);
        if (!had_contact && heard_from_majority(asked)) {
            m_contact_regained_at = asked;
        }
    }
    if (!answer.confirms_orders) {
        return;
    }
    for (const auto& [service, holders] : roles.lease_holders) {
        if (!fleet::contains_instance(holders, answer.from)) {
            continue;
        }
        const auto known = answer.orders.find(service);
        const auto fence = known == answer.orders.end() ? 0 : known->second.fence;
        auto& lease = lease_of(service);
        const auto before = lease.grant();
        lease.confirm(zone, fence, asked);
        if (lease.grant() != before) {
            m_changed.insert(service);
        }
    }
}

bool primary_leases::needs_store_read() const noexcept {
    return !m_store_read_at || *m_store_read_at < m_contact_regained_at;
}

bool primary_leases::confirms(clock::time_point now) const {
    return !needs_store_read() && heard_from_majority(now);
}

std::map<service_name, reported_order> primary_leases::known_orders() const {
    std::map<service_name, reported_order> orders;
    for (const auto& [service, lease] : m_leases) {
        if (lease.order_fence() != 0) {
            orders[service] = {lease.order_fence(), lease.target()};
        }
    }
    return orders;
}

std::uint64_t primary_leases::order_fence(const service_name& service) const {
    const auto found = m_leases.find(service);
    return found == m_leases.end() ? 0 : found->second.order_fence();
}

std::map<service_name, fleet::primary_grant> primary_leases::consume_changes() {
    std::map<service_name, fleet::primary_grant> changes;
    for (const auto& service : m_changed) {
        changes[service] = lease_of(service).grant();
    }
    m_changed.clear();
    return changes;
}

bool primary_leases::heard_from_majority(clock::time_point now) const {
    const auto zones = std::count_if(m_heard_from.begin(), m_heard_from.end(), [&](const auto& at) {
        return at.first != m_own_zone && now - at.second < contact_lifetime;
    });
    return static_cast<std::size_t>(zones) + 1 >= fleet::majority_of(m_zone_count);
}

fleet::primary_lease& primary_leases::lease_of(const service_name& service) {
    return m_leases.try_emplace(service, m_own_zone, m_zone_count).first->second;
}

} // namespace oriole::entry
