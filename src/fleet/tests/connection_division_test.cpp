#include "fleet/connection_division.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace oriole::fleet {
namespace {

class connection_division_test : public testing::Test {
protected:
    connection_division_test() { m_server.zone = zone_name("z0"); }

    void add_instances(const std::string& zone, int count) {
        for (int i = 0; i < count; ++i) {
            listed_instance instance;
            instance.id = instance_id(zone + "-" + std::to_string(i));
            instance.zone = zone_name(zone);
            m_instances.push_back(instance);
        }
    }

    connection_allotment allotment(std::size_t which, bool primary, int limit) const {
        return connections_for(m_instances[which], m_instances, m_server, primary, limit);
    }

    /// Of one gateway in each zone.
    int sum(bool primary, int limit) const {
        std::set<zone_name> seen;
        int sum = 0;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (seen.insert(m_instances[i].zone).second) {
                sum += allotment(i, primary, limit).as_gateway;
            }
        }
        return sum;
    }

    listed_server m_server;
    std::vector<listed_instance> m_instances;
};

// Guards against connections that the server refuses because all gateways together have too many.
RC_GTEST_FIXTURE_PROP(connection_division_test, gateways_stay_within_the_servers_limit, ()) {
    add_instances("z0", *rc::gen::inRange(0, 30));
    add_instances("z1", *rc::gen::inRange(1, 30));
    add_instances("z2", *rc::gen::inRange(0, 3));
    add_instances("z3", *rc::gen::inRange(0, 3));
    const int limit = *rc::gen::inRange(8, 300);
    RC_ASSERT(sum(true, limit) <= limit);
    RC_ASSERT(sum(false, limit) <= limit);
}

// Guards against an instance that cannot reach a server at all.
RC_GTEST_FIXTURE_PROP(connection_division_test, every_instance_has_a_connection, ()) {
    add_instances("z0", *rc::gen::inRange(0, 30));
    add_instances("z1", *rc::gen::inRange(1, 30));
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        for (const bool primary : {false, true}) {
            RC_ASSERT(allotment(i, primary, 21).as_gateway >= 1);
            RC_ASSERT(allotment(i, primary, 21).alone >= 1);
        }
    }
}

// Guards against reads that cross zones because the own zone's gateway lacks connections.
TEST_F(connection_division_test, replica_prefers_the_gateway_of_its_zone) {
    add_instances("z0", 3);
    add_instances("z1", 5);
    EXPECT_EQ(allotment(0, false, 21).as_gateway, 14);
    EXPECT_EQ(allotment(4, false, 21).as_gateway, 2);
    EXPECT_EQ(allotment(3, true, 21).as_gateway, 8);
}

// Guards against isolated instances that together take the connections of the gateways.
TEST_F(connection_division_test, instance_alone_has_its_part_of_the_zones_connections) {
    add_instances("z0", 25);
    add_instances("z1", 25);
    EXPECT_EQ(allotment(0, true, 50).alone, 1);
}

} // namespace
} // namespace oriole::fleet
