#include "machines/internal/probing_membership.h"

#include <algorithm>
#include <utility>

namespace oriole::machines {
namespace {

template <class T>
void shuffle(std::vector<T>& values, random_source& random) {
    for (std::size_t i = values.size(); i > 1; --i) {
        std::swap(values[i - 1], values[random.next() % i]);
    }
}

} // namespace

probing_membership::probing_membership(instance self, membership_settings settings,
                                       random_source& random)
    : m_self(self.id()), m_settings(settings), m_random(random) {
    m_members.emplace(m_self, member{{std::move(self), 0, member_state::live}, {}});
    m_gossip.add(m_self);
}

std::vector<membership_action> probing_membership::tick(clock::time_point now) {
    std::vector<membership_action> actions;
    if (m_last_tick && now - *m_last_tick > m_settings.pause_threshold) {
        compensate_for_pause(now - *m_last_tick);
    }
    m_last_tick = now;
    expire_states(now);
    if (m_probe && !m_probe->indirect_pings_sent &&
        now - m_probe->started >= m_settings.direct_timeout) {
        send_indirect_pings(actions);
    }
    if (now >= m_next_probe) {
        end_probe(now);
        start_probe(now, actions);
    }
    return actions;
}

std::vector<member_update>
probing_membership::ping_received(const std::vector<member_update>& updates,
                                  clock::time_point now) {
    apply_updates(updates, now);
    return updates_for(updates.empty() ? m_self : updates.front().instance_info.id());
}

void probing_membership::ping_answered(std::uint64_t number,
                                       const std::vector<member_update>& updates,
                                       clock::time_point now) {
    if (m_probe && m_probe->number == number) {
        m_probe.reset();
    }
    apply_updates(updates, now);
}

void probing_membership::list_received(const std::vector<instance>& list, clock::time_point now) {
    std::set<instance_id> listed;
    for (const auto& entry : list) {
        listed.insert(entry.id());
        const auto known = m_members.find(entry.id());
        const std::uint64_t incarnation =
            known == m_members.end() ? 0 : known->second.latest.incarnation;
        const bool leaving = entry.state() == instance_state::leaving;
        if (entry.id() != m_self && (leaving || known == m_members.end())) {
            apply({entry, incarnation, leaving ? member_state::leaving : member_state::live}, now);
        }
    }
    // The platform detects failures by its own means, so a suspected member that disappeared from
    // its list becomes `gone`.
    for (const auto& id : m_listed) {
        const auto known = m_members.find(id);
        if (listed.count(id) == 0 && known != m_members.end() &&
            known->second.latest.state == member_state::suspected) {
            set_state(id, member_state::gone, now);
        }
    }
    m_listed = std::move(listed);
}

void probing_membership::leave() {
    auto& latest = self().latest;
    ++latest.incarnation;
    latest.state = member_state::leaving;
    m_gossip.add(m_self);
}

std::vector<member_update> probing_membership::members() const {
    std::vector<member_update> found;
    for (const auto& [id, known] : m_members) {
        if (known.latest.state != member_state::gone) {
            found.push_back(known.latest);
        }
    }
    return found;
}

std::vector<instance_id> probing_membership::participants() const {
    std::vector<instance_id> found;
    for (const auto& [id, known] : m_members) {
        if (known.latest.state == member_state::live ||
            known.latest.state == member_state::suspected) {
            found.push_back(id);
        }
    }
    return found;
}

void probing_membership::apply_updates(const std::vector<member_update>& updates,
                                       clock::time_point now) {
    for (const auto& update : updates) {
        apply(update, now);
    }
}

void probing_membership::apply(const member_update& update, clock::time_point now) {
    if (update.instance_info.id() == m_self) {
        refute(update);
        return;
    }
    const auto known = m_members.find(update.instance_info.id());
    if (known == m_members.end()) {
        m_members.emplace(update.instance_info.id(), member{update, now});
    } else if (update.overrides(known->second.latest)) {
        known->second = member{update, now};
    } else {
        return;
    }
    m_gossip.add(update.instance_info.id());
}

/// Raises this instance's incarnation above that of an update that gives it a wrong state.
void probing_membership::refute(const member_update& claim) {
    auto& latest = self().latest;
    if (!claim.overrides(latest)) {
        return;
    }
    latest.incarnation = claim.incarnation + 1;
    m_gossip.add(m_self);
}

void probing_membership::set_state(const instance_id& member_id, member_state state,
                                   clock::time_point now) {
    member_update update = m_members.at(member_id).latest;
    update.state = state;
    apply(update, now);
}

void probing_membership::compensate_for_pause(clock::duration gap) {
    m_probe.reset();
    for (auto& [id, known] : m_members) {
        if (known.latest.state == member_state::suspected) {
            known.since += gap;
        }
    }
}

void probing_membership::expire_states(clock::time_point now) {
    std::vector<instance_id> expired;
    for (auto it = m_members.begin(); it != m_members.end();) {
        const auto& [id, known] = *it;
        const bool remove = known.latest.state == member_state::gone &&
                            now - known.since >= m_settings.gone_retention;
        if (known.latest.state == member_state::suspected &&
            now - known.since >= m_settings.suspicion_time) {
            expired.push_back(id);
        }
        if (remove) {
            m_gossip.remove(id);
        }
        it = remove ? m_members.erase(it) : std::next(it);
    }
    for (const auto& id : expired) {
        set_state(id, member_state::gone, now);
    }
}

/// Ends the current probe. If the target has answered neither direct nor indirect pings, it becomes
/// suspected if it was live, and `gone` if it was leaving.
void probing_membership::end_probe(clock::time_point now) {
    if (!m_probe) {
        return;
    }
    const auto target = m_members.find(m_probe->target);
    if (target != m_members.end() && m_probe->indirect_pings_sent) {
        const auto state = target->second.latest.state;
        if (state == member_state::live) {
            set_state(m_probe->target, member_state::suspected, now);
        } else if (state == member_state::leaving) {
            set_state(m_probe->target, member_state::gone, now);
        }
    }
    m_probe.reset();
}

void probing_membership::start_probe(clock::time_point now,
                                     std::vector<membership_action>& actions) {
    m_next_probe = now + m_settings.probe_period;
    const auto target = next_target();
    if (!target) {
        return;
    }
    m_probe = probe{++m_probe_count, *target, now, false};
    actions.emplace_back(send_ping{m_probe->number, m_members.at(*target).latest.instance_info,
                                   updates_for(*target)});
}

void probing_membership::send_indirect_pings(std::vector<membership_action>& actions) {
    m_probe->indirect_pings_sent = true;
    std::vector<instance_id> relays;
    for (const auto& id : participants()) {
        if (id != m_self && id != m_probe->target) {
            relays.push_back(id);
        }
    }
    shuffle(relays, m_random);
    relays.resize(std::min(relays.size(), m_settings.indirect_probes));
    const auto target = m_members.find(m_probe->target);
    if (target == m_members.end()) {
        return;
    }
    for (const auto& relay : relays) {
        actions.emplace_back(
            send_ping_via{m_probe->number, m_members.at(relay).latest.instance_info,
                          target->second.latest.instance_info, updates_for(m_probe->target)});
    }
}

/// Every second period probes a suspected member, if there is one, since its answer carries the
/// refutation. Without these pings, message loss led to live members being set to `gone`.
std::optional<instance_id> probing_membership::next_target() {
    if (m_probe_count % 2 == 1) {
        if (auto suspect = pick_suspected_member()) {
            return suspect;
        }
    }
    if (m_round.empty()) {
        refill_round();
    }
    while (!m_round.empty()) {
        const instance_id next = std::move(m_round.back());
        m_round.pop_back();
        if (m_members.count(next) > 0) {
            return next;
        }
    }
    return std::nullopt;
}

std::optional<instance_id> probing_membership::pick_suspected_member() {
    std::vector<instance_id> suspects;
    for (const auto& [id, known] : m_members) {
        if (known.latest.state == member_state::suspected) {
            suspects.push_back(id);
        }
    }
    if (suspects.empty()) {
        return std::nullopt;
    }
    return suspects[m_random.next() % suspects.size()];
}

/// Members in state `gone` that the platform still lists are probed as well: after a network
/// partition they learn from the ping that their state is `gone` and refute it.
void probing_membership::refill_round() {
    for (const auto& [id, known] : m_members) {
        const bool gone = known.latest.state == member_state::gone;
        if (id != m_self && (!gone || m_listed.count(id) > 0)) {
            m_round.push_back(id);
        }
    }
    shuffle(m_round, m_random);
}

/// Updates for a message to `receiver`: first this instance's own state, then the receiver's state
/// if the receiver must refute it, then queued updates of other members.
std::vector<member_update> probing_membership::updates_for(const instance_id& receiver) {
    std::vector<member_update> updates{self().latest};
    const auto known = m_members.find(receiver);
    const bool needs_refutation =
        known != m_members.end() && (known->second.latest.state == member_state::suspected ||
                                     known->second.latest.state == member_state::gone);
    if (needs_refutation) {
        updates.push_back(known->second.latest);
    }
    for (const auto& id : m_gossip.take(m_settings.updates_per_message, m_members.size())) {
        const auto found = m_members.find(id);
        if (id != m_self && found != m_members.end() && !(needs_refutation && id == receiver)) {
            updates.push_back(found->second.latest);
        }
    }
    return updates;
}

std::unique_ptr<membership> make_probing_membership(instance self, membership_settings settings,
                                                    random_source& random) {
    return std::make_unique<probing_membership>(std::move(self), settings, random);
}

} // namespace oriole::machines
