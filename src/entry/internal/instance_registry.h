#pragma once

#include "base/clock.h"
#include "entry/fleet_store.h"
#include "fleet/types/listed_instance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace oriole::entry {

/// The instances of the fleet: from the store's list, and from what they report themselves. Not
/// thread-safe.
class instance_registry {
public:
    explicit instance_registry(fleet::listed_instance own) : m_own(std::move(own)) {}

    /// The store's whole list.
    void take(const store_page<fleet::listed_instance>& page, clock::time_point now);

    /// An instance of that start has reported.
    void heard(const instance_id& from, std::uint64_t incarnation);

    /// The process of that start has ended.
    void mark_ended(const instance_id& instance, std::uint64_t incarnation);

    /// The other instances that live, as far as is known.
    [[nodiscard]] const std::vector<fleet::listed_instance>& live() const noexcept {
        return m_live;
    }

    /// Whether live() has changed since the last call.
    [[nodiscard]] bool take_changed() { return std::exchange(m_changed, false); }

    /// Whether the instance is listed in this instance's zone.
    [[nodiscard]] bool in_own_zone(const instance_id& instance) const;

    /// Whether a list has been taken.
    [[nodiscard]] bool known() const noexcept { return m_known; }

    /// Whether an instance has reported that is not listed as it is now.
    [[nodiscard]] bool take_unlisted() { return std::exchange(m_unlisted, false); }

private:
    struct seen_instance {
        fleet::listed_instance listed;
        clock::time_point beat_at; ///< when its number of beats last grew
    };

    [[nodiscard]] bool ended(const instance_id& instance, std::uint64_t incarnation) const;
    void update_live();

    fleet::listed_instance m_own;
    std::map<instance_id, seen_instance> m_listed;
    std::map<instance_id, std::uint64_t> m_ended; ///< starts of instances that have ended
    std::set<instance_id> m_heard; ///< instances that have reported since this one started
    std::optional<clock::time_point> m_own_beat_at;
    std::vector<fleet::listed_instance> m_live;
    bool m_known = false;
    bool m_changed = false;
    bool m_unlisted = false;
};

} // namespace oriole::entry
