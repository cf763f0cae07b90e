#include "fleet/role_assignment.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::fleet {
namespace {

class role_assignment_test : public testing::Test {
protected:
    void add_instances(const std::string& zone, int count, int capacity = 12) {
        for (int i = 0; i < count; ++i) {
            registered_instance instance;
            instance.zone = zone_name(zone);
            instance.id =
                instance_id(zone + "-" + std::to_string(capacity) + "-" + std::to_string(i));
            instance.capacity = capacity;
            m_instances.push_back(instance);
        }
    }

    role_assignment roles_of(const registered_instance& own) const {
        std::vector<registered_instance> others;
        std::copy_if(m_instances.begin(), m_instances.end(), std::back_inserter(others),
                     [&own](const auto& instance) { return instance.id != own.id; });
        return assign_roles(own, others, m_services, m_leasing);
    }

    void add_services(int count) {
        for (int i = 0; i < count; ++i) {
            m_services.insert(service_name("db" + std::to_string(i)));
        }
    }

    std::vector<registered_instance> m_instances;
    std::set<service_name> m_services;
    primary_leasing m_leasing = primary_leasing::not_needed;
};

// Guards against instances of one zone that forward statements to different gateways.
TEST_F(role_assignment_test, instances_with_the_same_list_agree) {
    add_instances("a", 5);
    add_instances("b", 4);
    add_services(3);
    const auto first = roles_of(m_instances[0]);
    const auto other = roles_of(m_instances[3]);
    EXPECT_EQ(first.gateways, other.gateways);
    EXPECT_EQ(first.electors, other.electors);
    EXPECT_EQ(first.rates, other.rates);
    EXPECT_EQ(first.watchers, other.watchers);
}

// Guards against a cost per instance that grows with the size of the fleet.
TEST_F(role_assignment_test, report_peers_stay_few_in_a_large_fleet) {
    for (const auto* zone : {"a", "b", "c", "d"}) {
        add_instances(zone, 122);
    }
    add_services(950);
    std::size_t most = 0;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < m_instances.size(); i += 61) {
        const auto roles = roles_of(m_instances[i]);
        // A store watcher is polled by all instances of its zone, but polls few peers itself.
        const auto count = roles.report_peers.size();
        most = std::max(most, count);
        sum += count;
    }
    EXPECT_LE(most, 150U);
    EXPECT_LE(sum / 8, 120U);
}

// Guards against small instances that are gateways for as many services as large instances.
TEST_F(role_assignment_test, large_instances_are_gateways_more_often) {
    add_instances("a", 20, 12);
    add_instances("a", 2, 50);
    add_services(200);
    const auto roles = roles_of(m_instances[0]);
    const auto large =
        std::count_if(roles.gateways.begin(), roles.gateways.end(),
                      [](const auto& item) { return item.second.front().capacity == 50; });
    EXPECT_GT(large, 200 * 2 / 22);
}

// Guards against a first elector that is no gateway: it runs no statements of the service, so it
// does not notice a failed primary, while the gateways of the other zones wait for their turns.
TEST_F(role_assignment_test, electors_begin_with_the_first_gateway_of_each_zone) {
    add_instances("a", 4);
    add_instances("b", 4);
    add_services(1);
    const auto roles = roles_of(m_instances[0]);
    const auto& electors = roles.electors.begin()->second;
    ASSERT_EQ(electors.size(), 4U);
    EXPECT_NE(electors[0].zone, electors[1].zone);
    EXPECT_TRUE(
        contains_instance({electors[0], electors[1]}, roles.gateways.begin()->second.front().id));
}

// Guards against a single-instance site whose rates no instance coordinates.
TEST_F(role_assignment_test, only_instance_has_all_roles) {
    add_instances("a", 1);
    add_services(1);
    const auto roles = roles_of(m_instances[0]);
    EXPECT_TRUE(roles.report_peers.empty());
    EXPECT_TRUE(contains_instance(roles.watchers, m_instances[0].id));
    for (const auto& rates : roles.rates) {
        EXPECT_EQ(rates.coordinator, m_instances[0].id);
    }
}

// Guards against a gateway whose lease nobody confirms, and against leases on platforms that need
// none.
TEST_F(role_assignment_test, gateways_poll_electors_of_the_other_zones_where_leases_are_needed) {
    add_instances("a", 6);
    add_instances("b", 6);
    add_instances("c", 6);
    add_services(1);
    EXPECT_TRUE(roles_of(m_instances[0]).lease_holders.empty());
    m_leasing = primary_leasing::needed;
    const auto roles = roles_of(m_instances[0]);
    const service_name service("db0");
    EXPECT_EQ(roles.lease_holders.at(service).size(), 9U);
    const auto of_gateway = roles_of(roles.gateways.at(service).front());
    for (const auto& elector : roles.electors.at(service)) {
        EXPECT_EQ(of_gateway.polled_peers.contains(elector.id), elector.zone != zone_name("a"));
    }
}

} // namespace
} // namespace oriole::fleet
