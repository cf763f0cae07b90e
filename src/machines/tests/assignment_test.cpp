#include "machines/connection_allocator.h"
#include "machines/watch_assignment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace oriole::machines {
namespace {

instance make_instance(std::size_t number, std::size_t zones) {
    return instance::builder()
        .id(instance_id{"i" + std::to_string(number)})
        .zone(zone_name{"z" + std::to_string(number % zones)})
        .build();
}

class assignment_test : public testing::Test {
protected:
    static constexpr std::size_t zones = 3;

    void add_instances(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            m_instances.push_back(make_instance(i, zones));
        }
    }

    std::vector<std::map<server_name, std::uint32_t>> allocate_all(std::uint32_t limit) {
        allocation_request query{.subject = database::builder()
                                                .name(m_database)
                                                .servers({m_primary})
                                                .connections(limit)
                                                .build(),
                                 .primary = m_primary,
                                 .server_zones = {{m_primary, zone_name{"z0"}},
                                                  {server_name{"s2"}, zone_name{"z1"}},
                                                  {server_name{"s3"}, zone_name{"z2"}}},
                                 .instances = m_instances,
                                 .self = {}};
        std::vector<std::map<server_name, std::uint32_t>> shares;
        for (const auto& i : m_instances) {
            query.self = i.id();
            std::reverse(query.instances.begin(), query.instances.end());
            shares.push_back(m_allocator->allocate(query));
        }
        return shares;
    }

    database_name m_database{"library-1"};
    server_name m_primary{"s1"};
    std::vector<instance> m_instances;
    std::unique_ptr<watch_assignment> m_assignment = make_watch_assignment();
    std::unique_ptr<connection_allocator> m_allocator = make_connection_allocator();
};

// Guards against a zone without watchers, and against a result that depends on the list's order.
TEST_F(assignment_test, each_zone_has_two_watchers_whatever_the_order) {
    add_instances(12);
    const auto chosen = m_assignment->watchers(m_database, m_instances);
    EXPECT_EQ(chosen.size(), 2 * zones);
    std::reverse(m_instances.begin(), m_instances.end());
    EXPECT_EQ(m_assignment->watchers(m_database, m_instances), chosen);
    EXPECT_EQ(m_assignment->rank(m_database, m_instances, chosen[1]), 1U);
}

// Guards against reassignment of the remaining watchers when one watcher leaves.
TEST_F(assignment_test, departure_of_watcher_adds_only_its_replacement) {
    add_instances(12);
    const auto before = m_assignment->watchers(m_database, m_instances);
    std::erase_if(m_instances, [&](const instance& i) { return i.id() == before[0]; });
    const auto after = m_assignment->watchers(m_database, m_instances);
    const std::set<instance_id> kept(after.begin(), after.end());
    EXPECT_TRUE(std::all_of(before.begin() + 1, before.end(),
                            [&](const instance_id& id) { return kept.contains(id); }));
}

// Guards against shares that exceed the database's connection limit, and against an instance
// without a connection to the primary although there are enough connections for all instances.
RC_GTEST_FIXTURE_PROP(assignment_test, shares_add_up_to_connection_limit, ()) {
    add_instances(*rc::gen::inRange<std::size_t>(1, 40));
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 60);
    std::uint32_t sum = 0;
    for (const auto& share : allocate_all(limit)) {
        for (const auto& [server, connections] : share) {
            sum += connections;
        }
        RC_ASSERT(m_instances.size() > limit || share.contains(m_primary));
    }
    RC_ASSERT(sum == limit);
}

// Guards against instances that have a connection to the primary but none to a replica when there
// are fewer connections than instances.
TEST_F(assignment_test, fewer_connections_than_instances_connect_some_instances_to_every_server) {
    add_instances(30);
    for (const auto& share : allocate_all(20)) {
        EXPECT_TRUE(share.empty() || share.size() == 3U);
    }
}

} // namespace
} // namespace oriole::machines
