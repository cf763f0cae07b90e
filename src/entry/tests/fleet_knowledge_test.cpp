#include "entry/internal/fleet_knowledge.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class fleet_knowledge_test : public testing::Test {
protected:
    fleet_knowledge_test() {
        auto config = std::make_shared<fleet::configuration>();
        config->version = 1;
        config->services[service_name("db")] = {21, 0};
        config->accounts.push_back({account_name("t"), {"key"}, 100, 100});
        m_knowledge.take_configuration(config, 1, "test");
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    static stored<fleet::listed_server> entry(const std::string& name, std::uint64_t revision,
                                              bool primary, bool draining = false) {
        fleet::listed_server server;
        server.id = server_name(name);
        server.service = service_name("db");
        server.zone = zone_name("zone-" + name);
        server.primary = primary;
        server.draining = draining;
        server.revision = revision;
        return {name, revision, false, server};
    }

    void list(std::vector<stored<fleet::listed_server>> entries, std::uint64_t revision,
              clock::duration time) {
        m_knowledge.take_servers({std::move(entries), revision}, true, at(time));
        static_cast<void>(m_knowledge.advance(at(time)));
    }

    const fleet::usable_server& view_of(const std::string& name, clock::duration time) {
        static_cast<void>(m_knowledge.advance(at(time)));
        m_view = m_knowledge.make_view(at(time));
        for (const auto& server : m_view.servers.at(service_name("db"))) {
            if (server.listed.id == server_name(name)) {
                return server;
            }
        }
        throw std::logic_error("the server is not in the view");
    }

    static fleet::listed_instance own() {
        fleet::listed_instance instance;
        instance.id = instance_id("own");
        instance.zone = zone_name("zone-a");
        instance.incarnation = 1;
        return instance;
    }

    std::unique_ptr<decision_log> m_log = make_decision_log(::dup(STDERR_FILENO));
    fleet_knowledge m_knowledge{own(), *m_log};
    fleet::fleet_view m_view;
};

// Guards against statements for a server that drains while others could run them.
TEST_F(fleet_knowledge_test, draining_replica_is_out_of_use_at_once) {
    list({entry("a", 2, true), entry("b", 3, false, true)}, 3, 1s);
    EXPECT_TRUE(view_of("b", 1s).evacuated);
    EXPECT_FALSE(view_of("a", 1s).evacuated);
}

// Guards against refused writes while a draining primary hands over, and against its use after
// that.
TEST_F(fleet_knowledge_test, draining_primary_is_used_until_another_leads) {
    list({entry("a", 2, true, true), entry("b", 3, false)}, 3, 1s);
    EXPECT_FALSE(view_of("a", 2s).evacuated);
    EXPECT_TRUE(view_of("a", 6s).evacuated);
}

// Guards against a zone that stays in use after the operators took it out.
TEST_F(fleet_knowledge_test, evacuated_zone_is_out_until_its_entry_goes) {
    list({entry("a", 2, true), entry("b", 3, false)}, 3, 1s);
    const zone_name zone("zone-b");
    m_knowledge.take_evacuations({{{"zone-b", 4, false, evacuation{zone}}}, 4}, false, at(1s));
    EXPECT_TRUE(view_of("b", 1s).evacuated);
    m_knowledge.take_evacuations({{{"zone-b", 5, true, std::nullopt}}, 5}, false, at(2s));
    EXPECT_FALSE(view_of("b", 2s).evacuated);
}

// Guards against a configuration that returns to an older version.
TEST_F(fleet_knowledge_test, older_configuration_is_ignored) {
    auto newer = std::make_shared<fleet::configuration>();
    newer->version = 9;
    m_knowledge.take_configuration(newer, 9, "test");
    auto older = std::make_shared<fleet::configuration>();
    older->version = 3;
    m_knowledge.take_configuration(older, 3, "test");
    EXPECT_EQ(m_knowledge.make_view(at(1s)).config->version, 9);
}

// Guards against an unreadable entry that takes the readable ones with it.
TEST_F(fleet_knowledge_test, unreadable_entry_leaves_the_others) {
    list({entry("a", 2, true), {"odd", 3, false, std::nullopt}}, 3, 1s);
    EXPECT_EQ(m_knowledge.make_view(at(1s)).servers.at(service_name("db")).size(), 1U);
}

// Guards against a proof that counts from when it arrived instead of when it was asked for.
TEST_F(fleet_knowledge_test, learnt_proof_is_as_old_as_the_question_and_its_age) {
    peer_report report;
    report.from = instance_id("peer");
    peer_service_report service;
    service.proved = server_name("a");
    service.position = machines::log_position(1, 4);
    service.proof_age = 300ms;
    report.services[service_name("db")] = service;
    m_knowledge.take_report(report, at(10s), at(11s));
    const auto proofs = m_knowledge.take_proofs();
    ASSERT_TRUE(proofs.contains(service_name("db")));
    EXPECT_EQ(proofs.at(service_name("db")).asked, at(9700ms));
}

// Guards against proofs that were pushed: nothing tells how long they were on their way.
TEST_F(fleet_knowledge_test, unasked_report_proves_nothing) {
    peer_report report;
    peer_service_report service;
    service.proved = server_name("a");
    service.position = machines::log_position(1, 4);
    report.services[service_name("db")] = service;
    m_knowledge.take_report(report, std::nullopt, at(11s));
    EXPECT_TRUE(m_knowledge.take_proofs().empty());
}

// Guards against an instance that stays out of use until the next list because its earlier process
// refused a connection, as seen when all instances start at once: the rates' keepers got no loans.
TEST_F(fleet_knowledge_test, ended_instance_that_reports_anew_is_a_peer_again) {
    fleet::listed_instance peer;
    peer.id = instance_id("peer");
    peer.zone = zone_name("zone-b");
    peer.incarnation = 5;
    m_knowledge.take_instances({{{"peer", 2, false, peer}}, 2}, at(1s));
    m_knowledge.mark_ended(peer.id, 5);
    ASSERT_TRUE(m_knowledge.peers().empty());
    peer_report report;
    report.from = peer.id;
    report.incarnation = 6;
    m_knowledge.take_report(report, std::nullopt, at(2s));
    ASSERT_EQ(m_knowledge.peers().size(), 1U);
    EXPECT_TRUE(m_knowledge.take_unlisted());
}

// Guards against an instance of a cut-off zone that goes on taking callers since it has no primary
// of its own to lose.
TEST_F(fleet_knowledge_test, zone_is_isolated_when_its_watchers_say_so) {
    std::vector<stored<fleet::listed_instance>> listed;
    for (int i = 0; i < 6; ++i) {
        fleet::listed_instance peer;
        peer.id = instance_id("peer" + std::to_string(i));
        peer.zone = zone_name("zone-a");
        peer.capacity = 1000; // The own instance is no watcher.
        listed.push_back({peer.id.str(), 2, false, peer});
    }
    m_knowledge.take_instances({listed, 2}, at(1s));
    ASSERT_EQ(m_knowledge.zone_isolated(at(1s)), false);
    for (const auto& peer : listed) {
        peer_report report;
        report.from = instance_id(peer.name);
        report.isolated = true;
        m_knowledge.take_report(report, std::nullopt, at(2s));
    }
    EXPECT_EQ(m_knowledge.zone_isolated(at(2s)), true);
    EXPECT_EQ(m_knowledge.zone_isolated(at(6s)), false);
}

} // namespace
} // namespace oriole::entry
