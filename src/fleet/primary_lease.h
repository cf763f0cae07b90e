#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/primary_grant.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace oriole::fleet {

/// How long a gateway may use a primary after a majority of the zones confirmed the promotion order
/// that names it. A promotion may have to wait for this long, so it is short; it spans two polls of
/// the peers.
inline constexpr clock::duration primary_lease_period = std::chrono::milliseconds(1500);

/// Allows for the different rates of the clocks that measure the lease and the wait for its end.
inline constexpr clock::duration primary_lease_margin = std::chrono::milliseconds(100);

/// Number of zones that form a majority. Any two majorities have a zone in common.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t zones) {
    return zones / 2 + 1;
}

/// One instance's lease on the primary of one service, for platforms on which a replaced primary
/// keeps accepting writes. The lease lasts while gateways in a majority of the zones confirm that
/// they know of no newer promotion order. Times are of the boot clock, because other instances
/// measure the end of the lease while this one may be suspended. Not thread-safe.
class primary_lease {
public:
    /// `zone_count` is the number of availability zones of the deployment. This instance confirms
    /// on behalf of `own_zone`.
    primary_lease(zone_name own_zone, std::size_t zone_count)
        : m_own_zone(std::move(own_zone)), m_zone_count(zone_count) {}

    /// Records a promotion order that exists in the store. Returns true when it is the newest one
    /// known; the lease then has to be confirmed anew.
    bool learn(std::uint64_t order_fence, const server_name& target);

    /// Records that a gateway in `zone` knew no order newer than `order_fence` when it answered.
    /// `asked` is the time before it was asked.
    void confirm(const zone_name& zone, std::uint64_t order_fence, clock::time_point asked);

    /// The permission to use the primary, which may have expired.
    [[nodiscard]] primary_grant grant() const;

    /// Fencing token of the newest known order; 0 when none is known.
    [[nodiscard]] std::uint64_t order_fence() const noexcept { return m_order_fence; }

    /// Target of the newest known order; empty when none is known.
    [[nodiscard]] const server_name& target() const noexcept { return m_target; }

private:
    zone_name m_own_zone;
    std::size_t m_zone_count;
    std::uint64_t m_order_fence = 0;
    server_name m_target;
    /// Last confirmation of m_order_fence, by zone. Contains no entry for the own zone.
    std::map<zone_name, clock::time_point> m_confirmed;
};

} // namespace oriole::fleet
