#include "fleet/primary_lease.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace oriole::fleet {

bool primary_lease::learn(std::uint64_t order_fence, const server_name& target) {
    if (order_fence <= m_order_fence) {
        return false;
    }
    m_order_fence = order_fence;
    m_target = target;
    m_confirmed.clear();
    return true;
}

void primary_lease::confirm(const zone_name& zone, std::uint64_t order_fence,
                            clock::time_point asked) {
    if (order_fence != m_order_fence || zone == m_own_zone) {
        return;
    }
    auto& newest = m_confirmed.try_emplace(zone, asked).first->second;
    newest = std::max(newest, asked);
}

primary_grant primary_lease::grant() const {
    primary_grant grant;
    grant.server = m_target;
    grant.order_fence = m_order_fence;
    const auto other_zones_needed = majority_of(m_zone_count) - 1;
    if (other_zones_needed == 0) {
        grant.expires_at = clock::time_point::max();
        return grant;
    }
    if (m_confirmed.size() < other_zones_needed) {
        return grant;
    }
    std::vector<clock::time_point> newest_first;
    for (const auto& [zone, asked] : m_confirmed) {
        newest_first.push_back(asked);
    }
    std::sort(newest_first.begin(), newest_first.end(), std::greater<>());
    grant.expires_at = newest_first[other_zones_needed - 1] + primary_lease_period;
    return grant;
}

} // namespace oriole::fleet
