#include "fleet/primary_watch.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

const server_name old_primary("s0");
const server_name replica("s1");

class primary_watch_test : public testing::Test {
protected:
    primary_watch_test() {
        for (int i = 0; i < 3; ++i) {
            listed_instance instance;
            instance.id = instance_id("i" + std::to_string(i));
            m_situation.instances.push_back(instance);
            listed_server server;
            server.id = server_name("s" + std::to_string(i));
            server.zone = zone_name("z" + std::to_string(i));
            server.primary = i == 0;
            server.revision = 1;
            m_situation.servers.push_back(server);
        }
        m_situation.service = service_name("db");
        m_situation.last_holder = m_situation.instances[0].id;
        m_watch->listed(m_situation.servers, 1);
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    void fail_since(clock::duration time) {
        m_situation.own.server = old_primary;
        m_situation.own.failing_since = at(time);
    }

    void add_peer(const std::string& id, bool reaches) {
        primary_evidence evidence;
        evidence.server = old_primary;
        if (reaches) {
            evidence.answered = at(1s);
        } else {
            evidence.failing_since = at(1s);
        }
        m_situation.peers[instance_id(id)] = evidence;
    }

    primary_situation m_situation;
    std::unique_ptr<primary_watch> m_watch = make_primary_watch(first_instance());

    static listed_instance first_instance() {
        listed_instance own;
        own.id = instance_id("i0");
        return own;
    }
};

// Guards against a change for a statement that was only slow.
TEST_F(primary_watch_test, short_failure_changes_nothing) {
    fail_since(1s);
    EXPECT_EQ(m_watch->due_change(m_situation, at(1300ms)), std::nullopt);
}

// Guards against a service without a primary.
TEST_F(primary_watch_test, failing_primary_is_replaced_by_a_replica) {
    fail_since(1s);
    const auto change = m_watch->due_change(m_situation, at(1500ms));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->reason, change_reason::lost);
    EXPECT_EQ(change->from, old_primary);
    EXPECT_EQ(change->candidates.size(), 2U);
}

// Guards against a change because one instance is cut off from a primary that the others reach.
TEST_F(primary_watch_test, primary_that_most_instances_reach_stays) {
    fail_since(1s);
    add_peer("i1", true);
    add_peer("i2", true);
    EXPECT_EQ(m_watch->due_change(m_situation, at(2s)), std::nullopt);
}

// Guards against a primary that most instances have lost and nobody replaces.
TEST_F(primary_watch_test, primary_that_most_instances_lost_is_replaced) {
    fail_since(1s);
    add_peer("i1", false);
    add_peer("i2", true);
    EXPECT_TRUE(m_watch->due_change(m_situation, at(2s)));
}

// Guards against all instances that order the same change at once.
TEST_F(primary_watch_test, other_instances_wait_for_their_turn) {
    fail_since(1s);
    m_situation.last_holder = instance_id("i1");
    EXPECT_EQ(m_watch->due_change(m_situation, at(1500ms)), std::nullopt);
    EXPECT_TRUE(m_watch->due_change(m_situation, at(2600ms)));
}

// Guards against a second change while the named server is taking over.
TEST_F(primary_watch_test, change_has_time_to_take_effect) {
    fail_since(1s);
    ASSERT_TRUE(m_watch->due_change(m_situation, at(1500ms)));
    m_watch->promoted(replica);
    m_situation.own.server = replica;
    EXPECT_EQ(m_watch->due_change(m_situation, at(1600ms)), std::nullopt);
}

// Guards against a primary that stays in a zone which is taken out.
TEST_F(primary_watch_test, primary_in_an_evacuated_zone_is_replaced_as_planned) {
    m_situation.evacuated_zones.insert(zone_name("z0"));
    const auto change = m_watch->due_change(m_situation, at(1s));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->reason, change_reason::planned);
}

// Guards against a promotion of a server that is about to end.
TEST_F(primary_watch_test, leaving_servers_are_no_candidates) {
    m_situation.servers[1].draining = true;
    fail_since(1s);
    const auto change = m_watch->due_change(m_situation, at(1500ms));
    ASSERT_TRUE(change);
    EXPECT_EQ(change->candidates, std::vector<server_name>{server_name("s2")});
}

// Guards against an ex-primary's stale entry that wins over a proof of a newer term.
TEST_F(primary_watch_test, proof_of_a_higher_term_names_the_primary) {
    m_watch->proved(old_primary, {1, 5});
    m_watch->proved(replica, {2, 4});
    EXPECT_EQ(m_watch->primary(), replica);
    m_watch->proved(old_primary, {1, 9});
    EXPECT_EQ(m_watch->primary(), replica);
    EXPECT_EQ(m_watch->term(), 2U);
}

// Guards against a new primary that is given up again: the traffic thread goes on reporting the
// newest proof, which is the lost primary's until a statement has run at the new one.
TEST_F(primary_watch_test, repeated_proof_of_the_old_term_does_not_undo_a_promotion) {
    m_watch->proved(old_primary, {1, 5});
    m_watch->promoted(replica);
    m_watch->proved(old_primary, {1, 5});
    EXPECT_EQ(m_watch->primary(), replica);
}

// Guards against a change of primary that only the list tells.
TEST_F(primary_watch_test, newer_entry_names_the_primary) {
    m_situation.servers[0].primary = false;
    m_situation.servers[1].primary = true;
    m_situation.servers[1].revision = 7;
    m_watch->listed(m_situation.servers, 7);
    EXPECT_EQ(m_watch->primary(), replica);
}

} // namespace
} // namespace oriole::fleet
