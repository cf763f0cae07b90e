#include <utility>

#include "entry/internal/instance_registry.h"

#include <algorithm>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

constexpr clock::duration min_renewal_interval = 10s;
/// Limits how long a dead instance that nobody talks to stays in the list.
constexpr clock::duration max_renewal_interval = 30s;
/// The instances of a fleet together renew at most one entry per this time, until the maximum
/// interval is reached.
constexpr clock::duration renewal_time_per_instance = 100ms;

/// Time for the instances to register again after a restore of the store.
constexpr clock::duration reregistration_period = 5s;

/// An instance is considered dead when its entry has not been renewed for this long before the last
/// renewal of this instance's own entry. The limit spans three renewal intervals, because the store
/// may reject a single instance for a while.
clock::duration contacted_instance_timeout(clock::duration renewal_interval) {
    return 3 * renewal_interval + 2s;
}

/// Shorter limit for an instance that has never reported to this one: its entry is probably left
/// over from a process that ended without removing it.
clock::duration uncontacted_instance_timeout(clock::duration renewal_interval) {
    return renewal_interval + 6s;
}

} // namespace

void instance_registry::update(const store_page<fleet::registered_instance>& page,
                               clock::time_point now) {
    if (page.revision.era < m_era) {
        return;
    }
    if (m_era != 0 && page.revision.era > m_era) {
        m_reregistration_end = now + reregistration_period;
    }
    m_era = page.revision.era;
    std::map<instance_id, seen_instance> next;
    for (const auto& object : page.objects) {
        if (!object.value) {
            continue;
        }
        const auto& listed = *object.value;
        const auto before = m_listed.find(listed.id);
        const bool renewed = before == m_listed.end() ||
                             before->second.listed.incarnation != listed.incarnation ||
                             before->second.listed.heartbeats != listed.heartbeats;
        next[listed.id] = {listed, renewed ? now : before->second.heartbeat_at};
    }
    if (m_reregistration_end && now < *m_reregistration_end) {
        for (const auto& [id, known] : m_listed) {
            const auto listed = next.find(id);
            const bool differs = listed == next.end() ||
                                 listed->second.listed.incarnation != known.listed.incarnation;
            if (differs && m_contacted.contains(id)) {
                next[id] = known;
            }
        }
    }
    const auto own = next.find(m_own.id);
    if (own != next.end() && own->second.listed.incarnation == m_own.incarnation) {
        m_own_heartbeat_at = own->second.heartbeat_at;
    }
    m_listed = std::move(next);
    m_has_list = true;
    update_live();
}

clock::duration instance_registry::renewal_interval() const {
    const auto by_size = renewal_time_per_instance * static_cast<int>(m_listed.size());
    return std::clamp<clock::duration>(by_size, min_renewal_interval, max_renewal_interval);
}

void instance_registry::record_report(const instance_id& from, std::uint64_t incarnation) {
    m_contacted.insert(from);
    if (has_refused(from, incarnation)) {
        m_refusals.erase(from);
        update_live();
    }
    const auto sender = m_listed.find(from);
    if (sender == m_listed.end()) {
        m_unlisted = true;
        return;
    }
    if (sender->second.listed.incarnation != incarnation && !ended(from, incarnation)) {
        // The instance has restarted, usually at the same addresses. The store's next list
        // confirms its addresses.
        sender->second.listed.incarnation = incarnation;
        m_unlisted = true;
        update_live();
    }
}

void instance_registry::mark_ended(const instance_id& instance, std::uint64_t incarnation) {
    m_stopped_incarnations[instance] = incarnation;
    update_live();
}

void instance_registry::mark_refused(const instance_id& instance, std::uint64_t incarnation,
                                     clock::time_point now) {
    m_refusals[instance] = {incarnation, now};
    update_live();
}

void instance_registry::advance(clock::time_point now) {
    const auto forgotten = std::erase_if(
        m_refusals, [now](const auto& item) { return now - item.second.at >= refusal_lifetime; });
    if (forgotten > 0) {
        update_live();
    }
}

bool instance_registry::in_own_zone(const instance_id& instance) const {
    return zone_of(instance) == m_own.zone;
}

std::optional<zone_name> instance_registry::zone_of(const instance_id& instance) const {
    const auto found = m_listed.find(instance);
    return found == m_listed.end() ? std::nullopt : std::optional(found->second.listed.zone);
}

bool instance_registry::ended(const instance_id& instance, std::uint64_t incarnation) const {
    const auto found = m_stopped_incarnations.find(instance);
    return found != m_stopped_incarnations.end() && found->second == incarnation;
}

bool instance_registry::has_refused(const instance_id& instance, std::uint64_t incarnation) const {
    const auto found = m_refusals.find(instance);
    return found != m_refusals.end() && found->second.incarnation == incarnation;
}

void instance_registry::update_live() {
    std::vector<fleet::registered_instance> live;
    std::vector<fleet::registered_instance> refused;
    const auto interval = renewal_interval();
    for (const auto& [id, seen] : m_listed) {
        const auto limit = m_contacted.contains(id) ? contacted_instance_timeout(interval)
                                                    : uncontacted_instance_timeout(interval);
        const bool timed_out =
            m_own_heartbeat_at && *m_own_heartbeat_at - seen.heartbeat_at > limit;
        if (id == m_own.id || timed_out || ended(id, seen.listed.incarnation)) {
            continue;
        }
        auto& list = has_refused(id, seen.listed.incarnation) ? refused : live;
        list.push_back(seen.listed);
        // The heartbeat counter only shows that the instance is alive; resetting it keeps it from
        // counting as a change of the list.
        list.back().heartbeats = 0;
    }
    m_changed = m_changed || live != m_live || refused != m_refused;
    m_live = std::move(live);
    m_refused = std::move(refused);
}

} // namespace oriole::entry
