#include <utility>

#include "entry/internal/instance_registry.h"

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// An instance whose entry has not changed for so long, while this one's has, is dead. Three
/// intervals: the store may turn single instances away for a while.
constexpr clock::duration silent_instance = 32s;
/// The same for one that has never been in touch with this instance: it left its entry behind.
constexpr clock::duration silent_stranger = 16s;

} // namespace

void instance_registry::take(const store_page<fleet::listed_instance>& page,
                             clock::time_point now) {
    std::map<instance_id, seen_instance> next;
    for (const auto& object : page.objects) {
        if (!object.value) {
            continue;
        }
        const auto& listed = *object.value;
        const auto before = m_listed.find(listed.id);
        const bool grown = before == m_listed.end() ||
                           before->second.listed.incarnation != listed.incarnation ||
                           before->second.listed.beats != listed.beats;
        next[listed.id] = {listed, grown ? now : before->second.beat_at};
    }
    const auto own = next.find(m_own.id);
    if (own != next.end() && own->second.listed.incarnation == m_own.incarnation) {
        m_own_beat_at = own->second.beat_at;
    }
    m_listed = std::move(next);
    m_known = true;
    update_live();
}

void instance_registry::heard(const instance_id& from, std::uint64_t incarnation) {
    m_heard.insert(from);
    const auto sender = m_listed.find(from);
    if (sender == m_listed.end()) {
        m_unlisted = true;
        return;
    }
    if (sender->second.listed.incarnation != incarnation && !ended(from, incarnation)) {
        // It has started anew, usually at the same addresses; the list will tell.
        sender->second.listed.incarnation = incarnation;
        m_unlisted = true;
        update_live();
    }
}

void instance_registry::mark_ended(const instance_id& instance, std::uint64_t incarnation) {
    m_ended[instance] = incarnation;
    update_live();
}

bool instance_registry::in_own_zone(const instance_id& instance) const {
    const auto found = m_listed.find(instance);
    return found != m_listed.end() && found->second.listed.zone == m_own.zone;
}

bool instance_registry::ended(const instance_id& instance, std::uint64_t incarnation) const {
    const auto found = m_ended.find(instance);
    return found != m_ended.end() && found->second == incarnation;
}

void instance_registry::update_live() {
    std::vector<fleet::listed_instance> live;
    for (const auto& [id, seen] : m_listed) {
        const auto limit = m_heard.contains(id) ? silent_instance : silent_stranger;
        const bool silent = m_own_beat_at && *m_own_beat_at - seen.beat_at > limit;
        if (id != m_own.id && !silent && !ended(id, seen.listed.incarnation)) {
            live.push_back(seen.listed);
            live.back().beats = 0; // They say only whether the instance lives.
        }
    }
    m_changed = m_changed || live != m_live;
    m_live = std::move(live);
}

} // namespace oriole::entry
