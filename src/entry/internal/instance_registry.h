#pragma once

#include "base/clock.h"
#include "entry/fleet_store.h"
#include "fleet/types/registered_instance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace oriole::entry {

/// The instances of the fleet, from the store's list and from the instances' own reports. Not
/// thread-safe.
class instance_registry {
public:
    explicit instance_registry(fleet::registered_instance own) : m_own(std::move(own)) {}

    /// Replaces the known instances with the store's complete list. A list of an earlier era is
    /// ignored. For a while after a restore of the store, instances that reported stay known as
    /// they reported, until they have registered again.
    void update(const store_page<fleet::registered_instance>& page, clock::time_point now);

    /// Records that the instance has reported with this incarnation, which identifies its process
    /// start.
    void record_report(const instance_id& from, std::uint64_t incarnation);

    /// Records that the process with this incarnation has ended.
    void mark_ended(const instance_id& instance, std::uint64_t incarnation);

    /// Records that the instance's machine refused a connection: the process with this incarnation
    /// does not count as alive until a report of it arrives or `refusal_lifetime` has passed.
    void mark_refused(const instance_id& instance, std::uint64_t incarnation,
                      clock::time_point now);

    /// Forgets refusals that are older than `refusal_lifetime`.
    void advance(clock::time_point now);

    static constexpr clock::duration refusal_lifetime = std::chrono::seconds(3);

    /// The other instances that are considered alive.
    [[nodiscard]] const std::vector<fleet::registered_instance>& live() const noexcept {
        return m_live;
    }

    /// The instances that would be considered alive, had their machines not refused a connection.
    /// A partition may refuse connections too, so their processes may go on.
    [[nodiscard]] const std::vector<fleet::registered_instance>& refused() const noexcept {
        return m_refused;
    }

    /// Interval at which each instance renews its entry in the store. It grows with the number of
    /// instances, so that the renewals of a large fleet do not load the store more than those of a
    /// small one.
    [[nodiscard]] clock::duration renewal_interval() const;

    /// Returns whether live() or refused() has changed since the last call.
    [[nodiscard]] bool consume_changed() { return std::exchange(m_changed, false); }

    /// Returns whether the store's last list contains the instance in this instance's zone.
    [[nodiscard]] bool in_own_zone(const instance_id& instance) const;

    /// The zone of the instance according to the store's last list; nullopt when it is not listed.
    [[nodiscard]] std::optional<zone_name> zone_of(const instance_id& instance) const;

    /// Returns whether the store's list of instances has been received at least once.
    [[nodiscard]] bool known() const noexcept { return m_has_list; }

    /// Returns whether, since the last call, an instance has reported that the store's last list
    /// lacks or contains with an older incarnation.
    [[nodiscard]] bool consume_unlisted() { return std::exchange(m_unlisted, false); }

private:
    struct seen_instance {
        fleet::registered_instance listed;
        clock::time_point heartbeat_at; ///< last change of the heartbeat counter or incarnation
    };

    struct refusal {
        std::uint64_t incarnation = 0;
        clock::time_point at;
    };

    [[nodiscard]] bool ended(const instance_id& instance, std::uint64_t incarnation) const;
    [[nodiscard]] bool has_refused(const instance_id& instance, std::uint64_t incarnation) const;
    void update_live();

    fleet::registered_instance m_own;
    std::map<instance_id, seen_instance> m_listed;
    /// Incarnation that has ended, by instance.
    std::map<instance_id, std::uint64_t> m_stopped_incarnations;
    std::map<instance_id, refusal> m_refusals; ///< last refused connection, by instance
    std::set<instance_id> m_contacted; ///< instances that have reported since this process started
    std::optional<clock::time_point> m_own_heartbeat_at;
    std::uint64_t m_era = 0;                               ///< the store's era of the last list
    std::optional<clock::time_point> m_reregistration_end; ///< after the last restore
    std::vector<fleet::registered_instance> m_live;
    std::vector<fleet::registered_instance> m_refused;
    bool m_has_list = false;
    bool m_changed = false;
    bool m_unlisted = false;
};

} // namespace oriole::entry
