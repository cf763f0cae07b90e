#include "machines/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instance make_instance(int number) {
    return instance::builder()
        .id(instance_id("i" + std::to_string(100 + number)))
        .zone(zone_name("zone-a"))
        .build();
}

/// A simulated fleet with a virtual clock. Messages arrive immediately or are lost.
class membership_test : public testing::Test {
protected:
    struct node {
        std::unique_ptr<random_source> random;
        std::unique_ptr<membership> protocol;
        bool running = true;
    };

    static constexpr milliseconds step{50};

    void start(int number) {
        node added{make_random_source(static_cast<std::uint64_t>(number) + 1), nullptr, true};
        added.protocol = make_probing_membership(make_instance(number), {}, *added.random);
        m_nodes[make_instance(number).id()] = std::move(added);
        m_list.push_back(make_instance(number));
    }

    void start_fleet(int size) {
        for (int i = 0; i < size; ++i) {
            start(i);
        }
        send_list();
    }

    void send_list() {
        for (auto& [id, at] : m_nodes) {
            at.protocol->list_received(m_list, m_now);
        }
    }

    node& at(int number) { return m_nodes.at(make_instance(number).id()); }

    bool arrives(const instance_id& from, const instance_id& to) {
        const auto target = m_nodes.find(to);
        const bool partitioned = m_partition.count(from) != m_partition.count(to);
        const bool lost = m_loss_random->next() % 100 < m_loss_percent;
        return target != m_nodes.end() && target->second.running && !partitioned && !lost;
    }

    void deliver(const instance_id& from, const send_ping& ping) {
        if (arrives(from, ping.to.id())) {
            const auto answer = m_nodes[ping.to.id()].protocol->ping_received(ping.updates, m_now);
            if (arrives(ping.to.id(), from)) {
                m_nodes[from].protocol->ping_answered(ping.probe, answer, m_now);
            }
        }
    }

    void deliver(const instance_id& from, const send_ping_via& ping) {
        const auto& via = ping.via.id();
        if (arrives(from, via) && arrives(via, ping.target.id())) {
            const auto answer =
                m_nodes[ping.target.id()].protocol->ping_received(ping.updates, m_now);
            if (arrives(ping.target.id(), via) && arrives(via, from)) {
                m_nodes[from].protocol->ping_answered(ping.probe, answer, m_now);
            }
        }
    }

    void tick(const instance_id& id, membership& protocol) {
        for (const auto& action : protocol.tick(m_now)) {
            ++m_messages;
            std::visit([&](const auto& ping) { deliver(id, ping); }, action);
        }
    }

    void run(clock::duration time) {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            for (auto& entry : m_nodes) {
                if (entry.second.running) {
                    tick(entry.first, *entry.second.protocol);
                }
            }
        }
    }

    /// Number of members that are in state `state` according to instance `number`.
    std::size_t count(int number, member_state state) {
        const auto members = at(number).protocol->members();
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(),
                          [&](const auto& member) { return member.state == state; }));
    }

    bool sees_participant(int observer, int number) {
        const auto ids = at(observer).protocol->participants();
        return std::find(ids.begin(), ids.end(), make_instance(number).id()) != ids.end();
    }

    clock::time_point m_now{seconds(1000)};
    std::map<instance_id, node> m_nodes;
    std::vector<instance> m_list;
    std::set<instance_id> m_partition; ///< members of a partition: they reach only one another
    std::unique_ptr<random_source> m_loss_random = make_random_source(99);
    std::uint64_t m_loss_percent = 0;
    std::size_t m_messages = 0;
};

// Guards against a failed instance that stays a member and is still assigned work.
TEST_F(membership_test, failed_instance_is_gone_at_all_members) {
    start_fleet(8);
    run(seconds(5));
    at(3).running = false;
    run(seconds(30));
    for (const int observer : {0, 1, 2, 4, 5, 6, 7}) {
        EXPECT_FALSE(sees_participant(observer, 3));
        EXPECT_EQ(at(observer).protocol->participants().size(), 7U);
    }
}

// Guards against live instances that become `gone` because messages were lost.
TEST_F(membership_test, lossy_network_keeps_all_members) {
    start_fleet(8);
    m_loss_percent = 15;
    for (int second = 0; second < 600; ++second) {
        run(seconds(1));
        for (int observer = 0; observer < 8; ++observer) {
            ASSERT_EQ(at(observer).protocol->participants().size(), 8U);
        }
    }
}

// Guards against a paused process that suspects other members whose answers it has not read yet.
TEST_F(membership_test, paused_instance_suspects_no_member_and_rejoins) {
    start_fleet(8);
    run(seconds(5));
    at(0).running = false;
    run(seconds(60));
    EXPECT_FALSE(sees_participant(1, 0));
    at(0).running = true;
    for (int i = 0; i < 200; ++i) {
        run(step);
        ASSERT_EQ(at(0).protocol->participants().size(), 8U);
    }
    run(seconds(20));
    for (int observer = 0; observer < 8; ++observer) {
        EXPECT_TRUE(sees_participant(observer, 0));
    }
}

// Guards against an instance that gets work after it has announced that it is leaving.
TEST_F(membership_test, leaving_instance_is_no_participant) {
    start_fleet(8);
    run(seconds(5));
    at(2).protocol->leave();
    run(seconds(15));
    for (const int observer : {0, 1, 3, 4, 5, 6, 7}) {
        EXPECT_FALSE(sees_participant(observer, 2));
        EXPECT_EQ(count(observer, member_state::leaving), 1U);
    }
    at(2).running = false;
    run(seconds(30));
    EXPECT_EQ(count(0, member_state::leaving), 0U);
}

// Guards against a restarted process that is treated as `gone` like its predecessor.
TEST_F(membership_test, restarted_instance_joins_without_platform) {
    start_fleet(4);
    run(seconds(5));
    at(3).running = false;
    start(9);
    at(9).protocol->list_received({make_instance(0)}, m_now);
    run(seconds(30));
    for (const int observer : {0, 1, 2, 9}) {
        EXPECT_TRUE(sees_participant(observer, 9));
        EXPECT_FALSE(sees_participant(observer, 3));
    }
}

// Guards against a fleet that stays split after a network partition has ended.
TEST_F(membership_test, partitioned_fleet_rejoins_after_partition_ends) {
    start_fleet(8);
    run(seconds(5));
    for (int i = 0; i < 3; ++i) {
        m_partition.insert(make_instance(i).id());
    }
    run(seconds(60));
    EXPECT_EQ(at(0).protocol->participants().size(), 3U);
    EXPECT_EQ(at(7).protocol->participants().size(), 5U);
    m_partition.clear();
    run(seconds(60));
    for (int observer = 0; observer < 8; ++observer) {
        EXPECT_EQ(at(observer).protocol->participants().size(), 8U);
    }
}

// Guards against traffic per instance that grows with the size of the fleet.
TEST_F(membership_test, healthy_fleet_sends_one_ping_per_instance_and_period) {
    for (const int size : {8, 64}) {
        m_nodes.clear();
        m_list.clear();
        start_fleet(size);
        m_messages = 0;
        run(seconds(20));
        EXPECT_LE(m_messages, static_cast<std::size_t>(size) * 20);
    }
}

// Guards against waiting for a suspicion to expire when the platform has already removed the
// member, and against removing a member that answers but is missing from the platform's list.
TEST_F(membership_test, unlisted_member_is_gone_only_if_suspected) {
    start_fleet(3);
    run(seconds(5));
    at(2).running = false;
    while (count(0, member_state::suspected) == 0) {
        run(step);
    }
    m_list.clear();
    at(0).protocol->list_received(m_list, m_now);
    EXPECT_FALSE(sees_participant(0, 2));
    EXPECT_TRUE(sees_participant(0, 1));
}

// Guards against members whose views stay different because updates arrived in different orders.
RC_GTEST_FIXTURE_PROP(membership_test, updates_in_any_order_give_same_view, ()) {
    const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    std::vector<member_update> updates;
    updates.reserve(numbers.size());
    for (const int n : numbers) {
        updates.push_back({make_instance(1 + n % 3), static_cast<std::uint64_t>(n / 12),
                           static_cast<member_state>(n / 3 % 4)});
    }
    auto shuffled = updates;
    for (std::size_t i = shuffled.size(); i > 1; --i) {
        std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    start(0);
    const auto other = make_probing_membership(make_instance(0), {}, *at(0).random);
    (void)at(0).protocol->ping_received(updates, m_now);
    (void)other->ping_received(shuffled, m_now);
    RC_ASSERT(at(0).protocol->members() == other->members());
}

} // namespace
} // namespace oriole::machines
