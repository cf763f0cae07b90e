#include "entry/internal/fleet_state.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class fleet_state_test : public testing::Test {
protected:
    fleet_state_test() {
        auto config = std::make_shared<fleet::configuration>();
        config->version = 1;
        config->services[service_name("db")] = {21, 0};
        config->accounts.push_back({account_name("t"), {"key"}, 100, 100});
        m_fleet.update_configuration(config, rev(1), "test");
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    static fleet::store_revision rev(std::uint64_t number, std::uint64_t era = 1) {
        return {era, number};
    }

    static store_entry<fleet::registered_server>
    entry(const std::string& name, std::uint64_t revision, bool primary, bool draining = false) {
        fleet::registered_server server;
        server.id = server_name(name);
        server.service = service_name("db");
        server.zone = zone_name("zone-" + name);
        server.primary = primary;
        server.draining = draining;
        server.revision = rev(revision);
        return {name, rev(revision), false, server};
    }

    void list(std::vector<store_entry<fleet::registered_server>> entries, std::uint64_t revision,
              clock::duration time) {
        m_fleet.update_servers({std::move(entries), rev(revision)}, true, at(time));
        static_cast<void>(m_fleet.advance(at(time)));
    }

    /// Lists other instances of this one's zone. Their larger capacity makes them the zone's
    /// watchers, not this instance.
    void list_strong_peers() {
        std::vector<store_entry<fleet::registered_instance>> listed;
        for (int i = 0; i < strong_peers; ++i) {
            fleet::registered_instance peer;
            peer.id = instance_id("peer" + std::to_string(i));
            peer.zone = zone_name("zone-a");
            peer.capacity = 1000;
            listed.push_back({peer.id.str(), rev(2), false, peer});
        }
        m_fleet.update_instances({listed, rev(2)}, at(1s));
    }

    static constexpr int strong_peers = 6;

    const fleet::usable_server& view_of(const std::string& name, clock::duration time) {
        static_cast<void>(m_fleet.advance(at(time)));
        m_view = m_fleet.make_view(at(time));
        for (const auto& server : m_view.servers.at(service_name("db"))) {
            if (server.listed.id == server_name(name)) {
                return server;
            }
        }
        throw std::logic_error("the server is not in the view");
    }

    static fleet::registered_instance own() {
        fleet::registered_instance instance;
        instance.id = instance_id("own");
        instance.zone = zone_name("zone-a");
        instance.incarnation = 1;
        return instance;
    }

    std::unique_ptr<decision_log> m_log = make_decision_log(::dup(STDERR_FILENO));
    fleet_state m_fleet{own(), *m_log};
    fleet::fleet_view m_view;
};

// Guards against statements being sent to a draining replica although other servers can run them.
TEST_F(fleet_state_test, draining_replica_is_unusable_at_once) {
    list({entry("a", 2, true), entry("b", 3, false, true)}, 3, 1s);
    EXPECT_TRUE(view_of("b", 1s).evacuated);
    EXPECT_FALSE(view_of("a", 1s).evacuated);
}

// Guards against refusing writes before a draining primary is replaced, and against using that
// primary for too long.
TEST_F(fleet_state_test, draining_primary_is_used_for_a_limited_time) {
    list({entry("a", 2, true, true), entry("b", 3, false)}, 3, 1s);
    EXPECT_FALSE(view_of("a", 2s).evacuated);
    EXPECT_TRUE(view_of("a", 6s).evacuated);
}

// Guards against a zone that stays in use after the operators have evacuated it.
TEST_F(fleet_state_test, evacuated_zone_is_unusable_until_its_entry_is_removed) {
    list({entry("a", 2, true), entry("b", 3, false)}, 3, 1s);
    const zone_name zone("zone-b");
    m_fleet.update_evacuations({{{"zone-b", rev(4), false, evacuation{zone}}}, rev(4)}, false,
                               at(1s));
    EXPECT_TRUE(view_of("b", 1s).evacuated);
    m_fleet.update_evacuations({{{"zone-b", rev(5), true, std::nullopt}}, rev(5)}, false, at(2s));
    EXPECT_FALSE(view_of("b", 2s).evacuated);
}

// Guards against an older configuration that replaces a newer one.
TEST_F(fleet_state_test, older_configuration_is_ignored) {
    auto newer = std::make_shared<fleet::configuration>();
    newer->version = 9;
    m_fleet.update_configuration(newer, rev(9), "test");
    auto older = std::make_shared<fleet::configuration>();
    older->version = 3;
    m_fleet.update_configuration(older, rev(3), "test");
    EXPECT_EQ(m_fleet.make_view(at(1s)).config->version, 9);
}

// Guards against one unreadable server entry that makes the readable ones unusable.
TEST_F(fleet_state_test, unreadable_server_entry_does_not_affect_the_others) {
    list({entry("a", 2, true), {"odd", rev(3), false, std::nullopt}}, 3, 1s);
    EXPECT_EQ(m_fleet.make_view(at(1s)).servers.at(service_name("db")).size(), 1U);
}

// Guards against dating a peer's position proof from its arrival: it counts from the time of the
// request, less the age that the peer reports.
TEST_F(fleet_state_test, peer_proof_is_dated_by_request_time_and_reported_age) {
    peer_report report;
    report.from = instance_id("peer");
    peer_service_report service;
    service.proven_server = server_name("a");
    service.position = machines::log_position(1, 4);
    service.proof_age = 300ms;
    report.services[service_name("db")] = service;
    m_fleet.merge_report(report, at(10s), at(11s));
    const auto proofs = m_fleet.consume_proofs();
    ASSERT_TRUE(proofs.contains(service_name("db")));
    EXPECT_EQ(proofs.at(service_name("db")).asked, at(9700ms));
}

// Guards against using position proofs of unsolicited reports, whose transit time is unknown.
TEST_F(fleet_state_test, position_proof_of_unsolicited_report_is_ignored) {
    peer_report report;
    peer_service_report service;
    service.proven_server = server_name("a");
    service.position = machines::log_position(1, 4);
    report.services[service_name("db")] = service;
    m_fleet.merge_report(report, std::nullopt, at(11s));
    EXPECT_TRUE(m_fleet.consume_proofs().empty());
}

// Guards against a restarted instance that counts as ended until the next list, because its earlier
// process refused a connection. When all instances started at once, the coordinators of the rates
// got no loans of rate shares.
TEST_F(fleet_state_test, restarted_instance_that_reports_is_a_peer_again) {
    fleet::registered_instance peer;
    peer.id = instance_id("peer");
    peer.zone = zone_name("zone-b");
    peer.incarnation = 5;
    m_fleet.update_instances({{{"peer", rev(2), false, peer}}, rev(2)}, at(1s));
    m_fleet.mark_ended(peer.id, 5);
    ASSERT_TRUE(m_fleet.peers().empty());
    peer_report report;
    report.from = peer.id;
    report.incarnation = 6;
    m_fleet.merge_report(report, std::nullopt, at(2s));
    ASSERT_EQ(m_fleet.peers().size(), 1U);
    EXPECT_TRUE(m_fleet.consume_unlisted());
}

// Guards against an instance that misses configurations and evacuations, because it is cut off from
// the watchers of its zone while the store would answer it.
TEST_F(fleet_state_test, instance_watches_the_store_while_no_watcher_of_its_zone_answers) {
    list_strong_peers();
    EXPECT_TRUE(m_fleet.watches_store(at(1s)));
    peer_report answer;
    answer.from = instance_id("peer0");
    m_fleet.merge_report(answer, std::nullopt, at(2s));
    EXPECT_TRUE(m_fleet.watches_store(at(2s)));
    for (int i = 0; i < strong_peers; ++i) {
        answer.from = instance_id("peer" + std::to_string(i));
        m_fleet.merge_report(answer, at(2s), at(2s));
    }
    EXPECT_FALSE(m_fleet.watches_store(at(2s)));
    EXPECT_FALSE(m_fleet.watches_store(at(3s)));
    EXPECT_TRUE(m_fleet.watches_store(at(5s)));
}

// Guards against an instance in an isolated zone that keeps accepting clients because it uses no
// primary itself and so cannot detect the isolation.
TEST_F(fleet_state_test, zone_is_isolated_when_its_watchers_report_it) {
    list_strong_peers();
    ASSERT_EQ(m_fleet.zone_isolated(at(1s)), false);
    for (int i = 0; i < strong_peers; ++i) {
        peer_report report;
        report.from = instance_id("peer" + std::to_string(i));
        report.isolated = true;
        m_fleet.merge_report(report, std::nullopt, at(2s));
    }
    EXPECT_EQ(m_fleet.zone_isolated(at(2s)), true);
    EXPECT_EQ(m_fleet.zone_isolated(at(6s)), false);
}

/// With leases on the primaries, in a deployment of three zones.
class leased_fleet_state_test : public fleet_state_test {
protected:
    leased_fleet_state_test() {
        auto config = std::make_shared<fleet::configuration>();
        config->services[service_name("db")] = {21, 0};
        m_leased.update_configuration(config, rev(1), "test");
        std::vector<store_entry<fleet::registered_instance>> listed;
        for (const auto* zone : {"zone-b", "zone-c"}) {
            fleet::registered_instance peer;
            peer.id = instance_id(std::string("in-") + zone);
            peer.zone = zone_name(zone);
            listed.push_back({peer.id.str(), rev(2), false, peer});
        }
        m_leased.update_instances({listed, rev(2)}, at(1s));
    }

    static peer_report confirmation(const std::string& from, std::uint64_t fence = 0) {
        peer_report report;
        report.from = instance_id(from);
        report.knows_orders = true;
        report.confirms_orders = true;
        if (fence != 0) {
            report.orders[service_name("db")] = {fence, server_name("target")};
        }
        return report;
    }

    fleet::primary_grant lease() {
        const auto leases = m_leased.consume_leases();
        const auto found = leases.find(service_name("db"));
        return found == leases.end() ? fleet::primary_grant{} : found->second;
    }

    fleet_state m_leased{own(), *m_log, fleet::primary_leasing::needed, 3};
};

// Guards against a lease that no other zone has confirmed.
TEST_F(leased_fleet_state_test, lease_is_granted_when_a_majority_of_zones_confirms) {
    EXPECT_FALSE(lease().covers(server_name("s"), at(10s)));
    m_leased.merge_report(confirmation("in-zone-b"), at(10s), at(10s));
    EXPECT_TRUE(lease().covers(server_name("s"), at(10s)));
}

// Guards against confirmations in unsolicited reports, whose age is unknown, and by instances that
// cannot know the newest order.
TEST_F(leased_fleet_state_test, undated_and_uncertain_confirmations_are_ignored) {
    static_cast<void>(lease());
    m_leased.merge_report(confirmation("in-zone-b"), std::nullopt, at(10s));
    auto uncertain = confirmation("in-zone-c");
    uncertain.confirms_orders = false;
    m_leased.merge_report(uncertain, at(10s), at(10s));
    m_leased.merge_report(confirmation("stranger"), at(10s), at(10s));
    EXPECT_FALSE(lease().covers(server_name("s"), at(10s)));
}

// Guards against writes to the previous primary after another instance has announced a promotion,
// also in a report that was not requested.
TEST_F(leased_fleet_state_test, announced_order_ends_the_lease_and_names_the_primary) {
    m_leased.merge_report(confirmation("in-zone-b"), at(10s), at(10s));
    static_cast<void>(lease());
    m_leased.merge_report(confirmation("in-zone-c", 7), std::nullopt, at(10s));
    EXPECT_TRUE(m_leased.consume_order_learned());
    const auto after = lease();
    EXPECT_EQ(after.server, server_name("target"));
    EXPECT_FALSE(after.covers(server_name("target"), at(10s)));
    EXPECT_EQ(m_leased.primary_monitor_of(service_name("db")).primary(), server_name("target"));
}

// Guards against a replaced primary that is taken for the primary again, because its own entry in
// the store still says so.
TEST_F(leased_fleet_state_test, entry_of_a_replaced_primary_does_not_change_the_primary) {
    m_leased.learn_order({service_name("db"), instance_id("other"), server_name("b"), 7, {}});
    m_leased.update_servers({{entry("a", 9, true), entry("b", 8, false)}, rev(9)}, true, at(11s));
    EXPECT_EQ(m_leased.primary_monitor_of(service_name("db")).primary(), server_name("b"));
}

// Guards against a call to the store for each report, at an instance that is no gateway: it asks
// only the watchers of its own zone, so it never hears from a majority of the zones.
TEST_F(leased_fleet_state_test, instance_without_a_majority_does_not_read_the_store_again) {
    m_leased.learn_orders({}, at(1s));
    auto answer = confirmation("in-zone-a");
    fleet::registered_instance neighbour;
    neighbour.id = answer.from;
    neighbour.zone = zone_name("zone-a");
    m_leased.update_instances({{{neighbour.id.str(), rev(3), false, neighbour}}, rev(3)}, at(2s));
    m_leased.merge_report(answer, at(3s), at(3s));
    EXPECT_FALSE(m_leased.needs_orders());
}

// Guards against confirming leases after a cut, without the orders that were announced meanwhile.
TEST_F(leased_fleet_state_test, instance_that_regains_a_majority_reads_the_store_again) {
    m_leased.learn_orders({}, at(1s));
    m_leased.merge_report(confirmation("in-zone-b"), at(3s), at(3s));
    EXPECT_TRUE(m_leased.needs_orders());
    m_leased.learn_orders({}, at(4s));
    m_leased.merge_report(confirmation("in-zone-b"), at(5s), at(5s));
    EXPECT_FALSE(m_leased.needs_orders());
    m_leased.merge_report(confirmation("in-zone-b"), at(60s), at(60s));
    EXPECT_TRUE(m_leased.needs_orders());
}

// Guards against a restarted instance that confirms leases although it has forgotten the orders
// that it had acknowledged.
TEST_F(leased_fleet_state_test, report_confirms_orders_only_after_the_store_was_read) {
    EXPECT_TRUE(m_leased.needs_orders());
    const auto asked = boot_clock().now();
    m_leased.merge_report(confirmation("in-zone-b"), asked, at(10s));
    EXPECT_FALSE(m_leased.report_for(nullptr, at(10s)).confirms_orders);
    m_leased.learn_orders({}, asked);
    const auto report = m_leased.report_for(nullptr, at(10s));
    EXPECT_TRUE(report.knows_orders);
    EXPECT_TRUE(report.confirms_orders);
    EXPECT_FALSE(m_leased.needs_orders());
}

} // namespace
} // namespace oriole::entry
