#include "fleet/connection_quota.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace oriole::fleet {
namespace {

class connection_quota_test : public testing::Test {
protected:
    connection_quota_test() { m_server.zone = zone_name("z0"); }

    void add_instances(const std::string& zone, int count) {
        for (int i = 0; i < count; ++i) {
            registered_instance instance;
            instance.id = instance_id(zone + "-" + std::to_string(i));
            instance.zone = zone_name(zone);
            m_instances.push_back(instance);
        }
    }

    connection_quota quota(std::size_t index, bool primary, int limit) const {
        return connection_quota_for(m_instances[index], m_instances, m_server, primary, limit);
    }

    /// Sum of the quotas of one gateway in each zone.
    int gateway_sum(bool primary, int limit) const {
        std::set<zone_name> seen;
        int sum = 0;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (seen.insert(m_instances[i].zone).second) {
                sum += quota(i, primary, limit).as_gateway;
            }
        }
        return sum;
    }

    registered_server m_server;
    std::vector<registered_instance> m_instances;
};

// Guards against connections that a server refuses because the gateways of all zones together
// exceed the server's connection limit.
RC_GTEST_FIXTURE_PROP(connection_quota_test, gateways_stay_within_the_servers_limit, ()) {
    add_instances("z0", *rc::gen::inRange(0, 30));
    add_instances("z1", *rc::gen::inRange(1, 30));
    add_instances("z2", *rc::gen::inRange(0, 3));
    add_instances("z3", *rc::gen::inRange(0, 3));
    const int limit = *rc::gen::inRange(8, 300);
    RC_ASSERT(gateway_sum(true, limit) <= limit);
    RC_ASSERT(gateway_sum(false, limit) <= limit);
}

// Guards against an instance whose quota for a server is zero, so that it cannot use the server.
RC_GTEST_FIXTURE_PROP(connection_quota_test, every_instance_may_hold_a_connection, ()) {
    add_instances("z0", *rc::gen::inRange(0, 30));
    add_instances("z1", *rc::gen::inRange(1, 30));
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        for (const bool primary : {false, true}) {
            RC_ASSERT(quota(i, primary, 21).as_gateway >= 1);
            RC_ASSERT(quota(i, primary, 21).isolated >= 1);
        }
    }
}

// Guards against reads that are sent to another zone because the gateway in the replica's zone has
// too few connections.
TEST_F(connection_quota_test, replica_gives_most_connections_to_its_own_zone) {
    add_instances("z0", 3);
    add_instances("z1", 5);
    EXPECT_EQ(quota(0, false, 21).as_gateway, 14);
    EXPECT_EQ(quota(4, false, 21).as_gateway, 2);
    EXPECT_EQ(quota(3, true, 21).as_gateway, 8);
}

// Guards against isolated instances of a zone that together use up the connections meant for the
// zones' gateways.
TEST_F(connection_quota_test, isolated_instance_gets_its_share_of_the_zones_connections) {
    add_instances("z0", 25);
    add_instances("z1", 25);
    EXPECT_EQ(quota(0, true, 50).isolated, 1);
}

} // namespace
} // namespace oriole::fleet
