#include "fleet/primary_monitor.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

const server_name old_primary("s0");
const server_name replica("s1");

class primary_monitor_test : public testing::Test {
protected:
    primary_monitor_test() {
        for (int i = 0; i < 3; ++i) {
            registered_instance instance;
            instance.id = instance_id("i" + std::to_string(i));
            m_inputs.instances.push_back(instance);
            registered_server server;
            server.id = server_name("s" + std::to_string(i));
            server.zone = zone_name("z" + std::to_string(i));
            server.primary = i == 0;
            server.revision = {1, 1};
            m_inputs.servers.push_back(server);
        }
        m_inputs.service = service_name("db");
        m_inputs.last_promoter = m_inputs.instances[0].id;
        m_monitor->listed(m_inputs.servers, {1, 1});
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    void primary_fails_since(clock::duration time) {
        m_inputs.own.server = old_primary;
        m_inputs.own.failing_since = at(time);
    }

    void add_peer(const std::string& id, bool reaches_primary) {
        primary_evidence evidence;
        evidence.server = old_primary;
        if (reaches_primary) {
            evidence.answered = at(1s);
        } else {
            evidence.failing_since = at(1s);
        }
        m_inputs.peers[instance_id(id)] = evidence;
    }

    primary_change_inputs m_inputs;
    std::unique_ptr<primary_monitor> m_monitor =
        make_primary_monitor(first_instance(), primary_leasing::not_needed);

    static registered_instance first_instance() {
        registered_instance own;
        own.id = instance_id("i0");
        return own;
    }
};

// Guards against a primary change caused by a single slow statement.
TEST_F(primary_monitor_test, short_failure_changes_nothing) {
    primary_fails_since(1s);
    EXPECT_EQ(m_monitor->due_change(m_inputs, at(1300ms)), std::nullopt);
}

// Guards against a service that stays without a primary after its primary failed.
TEST_F(primary_monitor_test, failing_primary_is_replaced_by_a_replica) {
    primary_fails_since(1s);
    const auto change = m_monitor->due_change(m_inputs, at(1500ms));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->reason, change_reason::lost);
    EXPECT_EQ(change->from, old_primary);
    EXPECT_EQ(change->candidates.size(), 2U);
}

// Guards against a primary change when only this instance is cut off from the primary and most
// other instances reach it.
TEST_F(primary_monitor_test, primary_that_most_instances_reach_stays) {
    primary_fails_since(1s);
    add_peer("i1", true);
    add_peer("i2", true);
    EXPECT_EQ(m_monitor->due_change(m_inputs, at(2s)), std::nullopt);
}

// Guards against a failed primary that is not replaced because one instance still reaches it.
TEST_F(primary_monitor_test, primary_that_most_instances_lost_is_replaced) {
    primary_fails_since(1s);
    add_peer("i1", false);
    add_peer("i2", true);
    EXPECT_TRUE(m_monitor->due_change(m_inputs, at(2s)));
}

// Guards against several instances that promote a server for the same failure at once.
TEST_F(primary_monitor_test, other_instances_wait_for_their_turn) {
    primary_fails_since(1s);
    m_inputs.last_promoter = instance_id("i1");
    EXPECT_EQ(m_monitor->due_change(m_inputs, at(1500ms)), std::nullopt);
    EXPECT_TRUE(m_monitor->due_change(m_inputs, at(2600ms)));
}

// Guards against a second primary change while the promoted server is still taking over.
TEST_F(primary_monitor_test, promoted_server_has_time_to_take_over) {
    primary_fails_since(1s);
    ASSERT_TRUE(m_monitor->due_change(m_inputs, at(1500ms)));
    m_monitor->promoted(replica);
    m_inputs.own.server = replica;
    EXPECT_EQ(m_monitor->due_change(m_inputs, at(1600ms)), std::nullopt);
}

// Guards against a primary that stays in an evacuated zone.
TEST_F(primary_monitor_test, primary_in_an_evacuated_zone_causes_a_planned_change) {
    m_inputs.evacuated_zones.insert(zone_name("z0"));
    const auto change = m_monitor->due_change(m_inputs, at(1s));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->reason, change_reason::planned);
}

// Guards against the promotion of a server that is draining.
TEST_F(primary_monitor_test, draining_servers_are_no_candidates) {
    m_inputs.servers[1].draining = true;
    primary_fails_since(1s);
    const auto change = m_monitor->due_change(m_inputs, at(1500ms));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->candidates, std::vector<server_name>{server_name("s2")});
}

// Guards against a promotion that leaves out a replica which lost its entry, but may have the only
// copy of a commit.
TEST_F(primary_monitor_test, unlisted_servers_are_part_of_the_change_except_the_primary) {
    primary_fails_since(1s);
    m_inputs.synchronous_replicas = 1;
    m_inputs.unlisted = {m_inputs.servers[0], m_inputs.servers[2]};
    m_inputs.servers.resize(2);
    const auto change = m_monitor->due_change(m_inputs, at(2s));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->unlisted, std::vector{m_inputs.unlisted[1]});
}

// Guards against a primary without an entry that is replaced without a hand-over of its log, though
// it runs.
TEST_F(primary_monitor_test, unlisted_primary_hands_over_where_replicas_are_synchronous) {
    m_inputs.unlisted = {m_inputs.servers[0]};
    m_inputs.servers.erase(m_inputs.servers.begin());
    EXPECT_EQ(m_monitor->due_change(m_inputs, at(2s))->reason, change_reason::lost);
    m_inputs.synchronous_replicas = 1;
    EXPECT_EQ(m_monitor->due_change(m_inputs, at(2s))->reason, change_reason::planned);
}

// Guards against a former primary that counts as primary again when its answers of an older term
// arrive after a newer primary's.
TEST_F(primary_monitor_test, proof_of_the_highest_term_determines_the_primary) {
    m_monitor->proved(old_primary, {1, 5});
    m_monitor->proved(replica, {2, 4});
    EXPECT_EQ(m_monitor->primary(), replica);
    m_monitor->proved(old_primary, {1, 9});
    EXPECT_EQ(m_monitor->primary(), replica);
    EXPECT_EQ(m_monitor->term(), 2U);
}

// Guards against a promotion that is undone: until a statement has run at the new primary, the
// traffic thread keeps reporting the newest position proof, which came from the lost primary.
TEST_F(primary_monitor_test, repeated_proof_of_the_old_term_does_not_undo_a_promotion) {
    m_monitor->proved(old_primary, {1, 5});
    m_monitor->promoted(replica);
    m_monitor->proved(old_primary, {1, 5});
    EXPECT_EQ(m_monitor->primary(), replica);
}

// Guards against a primary change that goes unnoticed when it shows only in the store's server
// list.
TEST_F(primary_monitor_test, newer_server_entry_determines_the_primary) {
    m_inputs.servers[0].primary = false;
    m_inputs.servers[1].primary = true;
    m_inputs.servers[1].revision = {1, 7};
    m_monitor->listed(m_inputs.servers, {1, 7});
    EXPECT_EQ(m_monitor->primary(), replica);
}

} // namespace
} // namespace oriole::fleet
