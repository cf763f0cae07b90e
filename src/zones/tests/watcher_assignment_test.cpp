#include "zones/anti_entropy.h"
#include "zones/watcher_assignment.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::zones {
namespace {

class watcher_assignment_test : public testing::Test {
protected:
    watcher_assignment_test() {
        for (int i = 0; i < 20; ++i) {
            m_members.emplace_back("i" + std::to_string(i));
        }
    }

    std::unique_ptr<watcher_assignment> m_assignment = make_rendezvous_watcher_assignment();
    std::vector<instance_id> m_members;
    std::string m_duty = config_watch_duty(zone_name("zone-a"));
};

// Guards against watchers that are reassigned when an instance leaves that is not a watcher.
TEST_F(watcher_assignment_test, other_member_leaves_watchers_stay) {
    const auto before = m_assignment->assigned(m_duty, m_members, config_watchers_per_zone);
    ASSERT_EQ(before.size(), 2U);
    for (const auto& leaving : m_members) {
        std::vector<instance_id> rest = m_members;
        rest.erase(std::find(rest.begin(), rest.end(), leaving));
        const auto after = m_assignment->assigned(m_duty, rest, config_watchers_per_zone);
        const auto kept = std::count_if(before.begin(), before.end(), [&](const auto& watcher) {
            return std::find(after.begin(), after.end(), watcher) != after.end();
        });
        const bool was_watcher = std::find(before.begin(), before.end(), leaving) != before.end();
        EXPECT_EQ(kept, was_watcher ? 1 : 2);
    }
}

// Guards against instances that assign different watchers because they list the members in
// different orders.
TEST_F(watcher_assignment_test, order_of_members_does_not_matter) {
    std::vector<instance_id> reversed(m_members.rbegin(), m_members.rend());
    EXPECT_EQ(m_assignment->assigned(m_duty, m_members, 2),
              m_assignment->assigned(m_duty, reversed, 2));
}

class anti_entropy_test : public testing::Test {
protected:
    std::unique_ptr<random_source> m_random = make_random_source(1);
    std::unique_ptr<anti_entropy> m_anti_entropy =
        make_random_anti_entropy(*m_random, std::chrono::seconds(8));
};

// Guards against an instance that picks itself as a peer, and against instances whose comparisons
// stay synchronized because the delay has no jitter.
TEST_F(anti_entropy_test, peer_is_another_and_delay_is_within_jitter) {
    const std::vector<instance_id> members{instance_id("a"), instance_id("b")};
    EXPECT_EQ(m_anti_entropy->pick_peer(members, members[0]), members[1]);
    EXPECT_EQ(m_anti_entropy->pick_peer({members[0]}, members[0]), std::nullopt);
    for (int i = 0; i < 100; ++i) {
        const auto delay = m_anti_entropy->next_delay();
        EXPECT_GE(delay, std::chrono::seconds(6));
        EXPECT_LE(delay, std::chrono::seconds(10));
    }
}

} // namespace
} // namespace oriole::zones
