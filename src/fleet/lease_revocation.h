#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriole::fleet {

/// Decides when a promotion can no longer overlap with the use of the previous primary: the leases
/// on that primary have been given up or have expired. Used by the instance that promotes. Times
/// are of the boot clock. Not thread-safe.
class lease_revocation {
public:
    /// `holders` are the instances that may hold a lease, with their zones. This includes the
    /// promoting instance itself if it is one of them.
    lease_revocation(std::map<instance_id, zone_name> holders, std::size_t zone_count,
                     clock::time_point started);

    /// Records that the instance has given up its lease and confirms no older order any more, or
    /// that its process has ended. `at` is the time of its answer.
    void released(const instance_id& holder, clock::time_point at);

    /// Records that the previous primary has confirmed that it accepts no more writes.
    void old_primary_stopped() noexcept { m_old_primary_stopped = true; }

    /// The holders that have not answered yet.
    [[nodiscard]] std::set<instance_id> pending() const;

    /// The earliest time at which the promotion may be sent; nullopt while fewer than a majority of
    /// the zones know the order. A holder that does not answer for `silence_limit` no longer counts
    /// for its zone: it confirms no lease unless it learns the order from the other zones.
    [[nodiscard]] std::optional<clock::time_point> safe_at(clock::time_point now) const;

    static constexpr clock::duration silence_limit = std::chrono::seconds(3);

private:
    /// When the last holder of the zone that is still counted answered; nullopt while one has not.
    [[nodiscard]] std::optional<clock::time_point> zone_released_at(const zone_name& zone,
                                                                    clock::time_point now) const;

    std::map<instance_id, zone_name> m_holders;
    std::map<instance_id, clock::time_point> m_released_at;
    std::set<zone_name> m_zones;
    std::size_t m_zone_count;
    clock::time_point m_started;
    bool m_old_primary_stopped = false;
};

} // namespace oriole::fleet
