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
        m_fleet.update_configuration(config, 1, "test");
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    static store_entry<fleet::registered_server>
    entry(const std::string& name, std::uint64_t revision, bool primary, bool draining = false) {
        fleet::registered_server server;
        server.id = server_name(name);
        server.service = service_name("db");
        server.zone = zone_name("zone-" + name);
        server.primary = primary;
        server.draining = draining;
        server.revision = revision;
        return {name, revision, false, server};
    }

    void list(std::vector<store_entry<fleet::registered_server>> entries, std::uint64_t revision,
              clock::duration time) {
        m_fleet.update_servers({std::move(entries), revision}, true, at(time));
        static_cast<void>(m_fleet.advance(at(time)));
    }

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
    m_fleet.update_evacuations({{{"zone-b", 4, false, evacuation{zone}}}, 4}, false, at(1s));
    EXPECT_TRUE(view_of("b", 1s).evacuated);
    m_fleet.update_evacuations({{{"zone-b", 5, true, std::nullopt}}, 5}, false, at(2s));
    EXPECT_FALSE(view_of("b", 2s).evacuated);
}

// Guards against an older configuration that replaces a newer one.
TEST_F(fleet_state_test, older_configuration_is_ignored) {
    auto newer = std::make_shared<fleet::configuration>();
    newer->version = 9;
    m_fleet.update_configuration(newer, 9, "test");
    auto older = std::make_shared<fleet::configuration>();
    older->version = 3;
    m_fleet.update_configuration(older, 3, "test");
    EXPECT_EQ(m_fleet.make_view(at(1s)).config->version, 9);
}

// Guards against one unreadable server entry that makes the readable ones unusable.
TEST_F(fleet_state_test, unreadable_server_entry_does_not_affect_the_others) {
    list({entry("a", 2, true), {"odd", 3, false, std::nullopt}}, 3, 1s);
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
    m_fleet.update_instances({{{"peer", 2, false, peer}}, 2}, at(1s));
    m_fleet.mark_ended(peer.id, 5);
    ASSERT_TRUE(m_fleet.peers().empty());
    peer_report report;
    report.from = peer.id;
    report.incarnation = 6;
    m_fleet.merge_report(report, std::nullopt, at(2s));
    ASSERT_EQ(m_fleet.peers().size(), 1U);
    EXPECT_TRUE(m_fleet.consume_unlisted());
}

// Guards against an instance in an isolated zone that keeps accepting clients because it uses no
// primary itself and so cannot detect the isolation.
TEST_F(fleet_state_test, zone_is_isolated_when_its_watchers_report_it) {
    std::vector<store_entry<fleet::registered_instance>> listed;
    for (int i = 0; i < 6; ++i) {
        fleet::registered_instance peer;
        peer.id = instance_id("peer" + std::to_string(i));
        peer.zone = zone_name("zone-a");
        // The larger capacity makes the peers the zone's watchers, not this instance.
        peer.capacity = 1000;
        listed.push_back({peer.id.str(), 2, false, peer});
    }
    m_fleet.update_instances({listed, 2}, at(1s));
    ASSERT_EQ(m_fleet.zone_isolated(at(1s)), false);
    for (const auto& peer : listed) {
        peer_report report;
        report.from = instance_id(peer.name);
        report.isolated = true;
        m_fleet.merge_report(report, std::nullopt, at(2s));
    }
    EXPECT_EQ(m_fleet.zone_isolated(at(2s)), true);
    EXPECT_EQ(m_fleet.zone_isolated(at(6s)), false);
}

} // namespace
} // namespace oriole::entry
