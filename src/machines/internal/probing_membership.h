#pragma once

#include "machines/internal/update_gossip_queue.h"
#include "machines/membership.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriole::machines {

/// See make_probing_membership.
class probing_membership final : public membership {
public:
    probing_membership(instance self, membership_settings settings, random_source& random);

    [[nodiscard]] std::vector<membership_action> tick(clock::time_point now) override;
    [[nodiscard]] std::vector<member_update>
    ping_received(const std::vector<member_update>& updates, clock::time_point now) override;
    void ping_answered(std::uint64_t probe, const std::vector<member_update>& updates,
                       clock::time_point now) override;
    void list_received(const std::vector<instance>& list, clock::time_point now) override;
    void leave() override;
    [[nodiscard]] std::vector<member_update> members() const override;
    [[nodiscard]] std::vector<instance_id> participants() const override;

private:
    struct member {
        member_update latest;
        clock::time_point since; ///< time of the last change of state
    };

    struct probe {
        std::uint64_t number = 0;
        instance_id target;
        clock::time_point started;
        bool indirect_pings_sent = false;
    };

    void apply(const member_update& update, clock::time_point now);
    void apply_updates(const std::vector<member_update>& updates, clock::time_point now);
    void set_state(const instance_id& member_id, member_state state, clock::time_point now);
    void refute(const member_update& claim);
    void compensate_for_pause(clock::duration gap);
    void expire_states(clock::time_point now);
    void end_probe(clock::time_point now);
    void start_probe(clock::time_point now, std::vector<membership_action>& actions);
    void send_indirect_pings(std::vector<membership_action>& actions);
    std::optional<instance_id> next_target();
    std::optional<instance_id> pick_suspected_member();
    void refill_round();
    std::vector<member_update> updates_for(const instance_id& receiver);

    member& self() { return m_members.at(m_self); }

    instance_id m_self;
    membership_settings m_settings;
    random_source& m_random;
    std::map<instance_id, member> m_members;
    std::set<instance_id> m_listed; ///< members in the platform's latest list
    update_gossip_queue m_gossip;
    std::vector<instance_id> m_round; ///< members still to be probed in this round
    std::optional<probe> m_probe;
    std::uint64_t m_probe_count = 0;
    std::optional<clock::time_point> m_last_tick;
    clock::time_point m_next_probe;
};

} // namespace oriole::machines
