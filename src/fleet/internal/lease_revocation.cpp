#include "fleet/lease_revocation.h"

#include "fleet/primary_lease.h"

#include <algorithm>
#include <utility>

namespace oriole::fleet {

lease_revocation::lease_revocation(std::map<instance_id, zone_name> holders, std::size_t zone_count,
                                   clock::time_point started)
    : m_holders(std::move(holders)), m_zone_count(zone_count), m_started(started) {
    for (const auto& [holder, zone] : m_holders) {
        m_zones.insert(zone);
    }
}

void lease_revocation::released(const instance_id& holder, clock::time_point at) {
    m_released_at.try_emplace(holder, at);
}

std::set<instance_id> lease_revocation::pending() const {
    std::set<instance_id> pending;
    for (const auto& [holder, zone] : m_holders) {
        if (!m_released_at.contains(holder)) {
            pending.insert(holder);
        }
    }
    return pending;
}

std::optional<clock::time_point> lease_revocation::safe_at(clock::time_point now) const {
    std::vector<clock::time_point> zones_released_at;
    for (const auto& zone : m_zones) {
        if (const auto at = zone_released_at(zone, now)) {
            zones_released_at.push_back(*at);
        }
    }
    const auto majority = majority_of(m_zone_count);
    if (zones_released_at.size() < majority) {
        return std::nullopt;
    }
    std::sort(zones_released_at.begin(), zones_released_at.end());
    const auto majority_at = zones_released_at[majority - 1];
    if (m_old_primary_stopped || pending().empty()) {
        return majority_at;
    }
    return majority_at + primary_lease_period + primary_lease_margin;
}

std::optional<clock::time_point> lease_revocation::zone_released_at(const zone_name& zone,
                                                                    clock::time_point now) const {
    std::optional<clock::time_point> last;
    bool any_silent = false;
    for (const auto& [holder, holder_zone] : m_holders) {
        if (holder_zone != zone) {
            continue;
        }
        const auto released = m_released_at.find(holder);
        if (released != m_released_at.end()) {
            last = std::max(last.value_or(released->second), released->second);
        } else if (now - m_started < silence_limit) {
            return std::nullopt;
        } else {
            any_silent = true;
        }
    }
    // Until the limit, the silent holder may have confirmed leases on the previous primary.
    return last && any_silent ? std::max(*last, m_started + silence_limit) : last;
}

} // namespace oriole::fleet
