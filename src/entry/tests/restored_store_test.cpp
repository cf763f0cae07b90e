#include "entry/internal/fleet_state.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;
using fleet::store_revision;

const service_name service("db");
const zone_name zone("zone-b");

/// The state of an instance after the store was restored from an older copy.
class restored_store_test : public testing::Test {
protected:
    restored_store_test() {
        publish(12, {1, 35}, "store");
        m_fleet.update_servers(servers("a", {1, 35}), true, at(1s));
        m_fleet.update_evacuations({{}, {1, 35}}, true, at(1s));
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    static std::shared_ptr<const fleet::configuration> configuration(std::int64_t version) {
        auto config = std::make_shared<fleet::configuration>();
        config->version = version;
        config->services[service] = {21, 0};
        return config;
    }

    static fleet::registered_server server(const std::string& name,
                                           const store_revision& revision) {
        fleet::registered_server server;
        server.id = server_name(name);
        server.service = service;
        server.zone = zone;
        server.sequence = 1;
        server.revision = revision;
        return server;
    }

    static store_page<fleet::registered_server> servers(const std::string& name,
                                                        const store_revision& revision) {
        return {{{name, revision, false, server(name, revision)}}, revision};
    }

    /// A report with the given configuration, and the given server as the only one.
    static peer_report report(std::int64_t version, const std::string& name,
                              const store_revision& revision) {
        peer_report report;
        report.from = instance_id("peer");
        report.revisions = {{version, revision}, revision, revision};
        report.configuration = configuration(version);
        report.servers = {server(name, revision)};
        report.evacuated.emplace();
        return report;
    }

    void publish(std::int64_t version, const store_revision& revision, const std::string& source) {
        m_fleet.update_configuration(configuration(version), revision, source);
    }

    void restore() { m_fleet.update_servers(servers("a", {2, 27}), true, at(4s)); }

    std::int64_t version_in_force() { return m_fleet.make_view(at(5s)).config->version; }

    bool uses(const std::string& name) {
        return m_fleet.find_server(server_name(name)).has_value();
    }

    static fleet::registered_instance own() {
        fleet::registered_instance own;
        own.id = instance_id("own");
        own.zone = zone_name("zone-a");
        return own;
    }

    std::unique_ptr<decision_log> m_log = make_decision_log(STDERR_FILENO);
    fleet_state m_fleet{own(), *m_log};
};

// Guards against a configuration that stays out of force, because its revision was given out before
// the restore.
TEST_F(restored_store_test, configuration_with_a_repeated_revision_comes_into_force) {
    publish(15, {2, 35}, "store");
    EXPECT_EQ(version_in_force(), 15);
}

// Guards against a withdrawn key or a removed route that is served again, because the copy holds an
// earlier configuration in the new era.
TEST_F(restored_store_test, configuration_of_the_copy_does_not_replace_a_newer_one) {
    publish(9, {2, 27}, "store");
    EXPECT_EQ(version_in_force(), 12);
}

// Guards against an instance that started after the restore and keeps the configuration of the
// copy, although another instance knows a newer one of the earlier era.
TEST_F(restored_store_test, newer_configuration_of_the_earlier_era_is_reported) {
    peer_report request;
    request.revisions = {{9, {2, 27}}, {2, 27}, {2, 27}};
    const auto answer = m_fleet.report_for(&request, at(5s));
    ASSERT_NE(answer.configuration, nullptr);
    EXPECT_EQ(answer.configuration->version, 12);
    fleet_state started{own(), *m_log};
    started.update_configuration(configuration(9), {2, 27}, "store");
    started.merge_report(answer, at(5s), at(5s));
    EXPECT_EQ(started.make_view(at(5s)).config->version, 12);
}

// Guards against a report of the earlier era that arrives late and replaces the newer servers,
// because its revision is higher.
TEST_F(restored_store_test, report_of_the_earlier_era_does_not_replace_the_servers) {
    restore();
    m_fleet.merge_report(report(12, "gone", {1, 40}), at(4s), at(5s));
    EXPECT_TRUE(uses("a"));
    EXPECT_FALSE(uses("gone"));
}

// Guards against an instance that was cut off over two restores and ignores what the others know.
TEST_F(restored_store_test, report_of_a_later_era_is_followed_from_two_eras_before) {
    m_fleet.merge_report(report(20, "b", {3, 5}), at(4s), at(5s));
    EXPECT_TRUE(uses("b"));
    EXPECT_EQ(version_in_force(), 20);
}

// Guards against an answer without an era that replaces what is known.
TEST_F(restored_store_test, page_without_an_era_changes_nothing) {
    m_fleet.update_servers(servers("gone", {0, 99}), true, at(4s));
    m_fleet.update_evacuations({{{zone.str(), {0, 99}, false, evacuation{zone}}}, {0, 99}}, true,
                               at(4s));
    EXPECT_FALSE(uses("gone"));
    ASSERT_EQ(m_fleet.make_view(at(5s)).servers.at(service).size(), 1U);
    EXPECT_FALSE(m_fleet.make_view(at(5s)).servers.at(service).front().evacuated);
}

// Guards against an instance that does not write its lost objects again, or writes them at each
// answer.
TEST_F(restored_store_test, restore_is_noticed_once) {
    EXPECT_FALSE(m_fleet.consume_store_restored());
    restore();
    restore();
    EXPECT_TRUE(m_fleet.consume_store_restored());
    EXPECT_FALSE(m_fleet.consume_store_restored());
}

// Guards against an instance that watches nothing itself and does not notice the restore.
TEST_F(restored_store_test, restore_is_noticed_from_a_report) {
    m_fleet.merge_report(report(9, "a", {2, 27}), at(4s), at(5s));
    EXPECT_TRUE(m_fleet.consume_store_restored());
}

/// Reports of a version of the program that states no eras, as during a rolling restart.
class report_without_eras_test : public restored_store_test {
protected:
    static peer_report old_report(std::int64_t version, const std::string& name,
                                  std::uint64_t number) {
        auto old = report(version, name, {0, number});
        old.revisions.configuration.version = 0;
        old.states_eras = false;
        return old;
    }
};

// Guards against an updated instance that misses changes, because the watchers of its zone were not
// restarted yet.
TEST_F(report_without_eras_test, report_is_followed_while_the_store_was_not_restored) {
    m_fleet.merge_report(old_report(15, "b", 40), at(4s), at(5s));
    EXPECT_TRUE(uses("b"));
    EXPECT_EQ(version_in_force(), 15);
}

// Guards against servers of the earlier era that count as newer, because their revision is higher.
TEST_F(report_without_eras_test, servers_are_ignored_after_a_restore) {
    restore();
    m_fleet.merge_report(old_report(12, "gone", 40), at(4s), at(5s));
    EXPECT_TRUE(uses("a"));
    EXPECT_FALSE(uses("gone"));
}

// Guards against a configuration that is not taken from a report, because the report has no era.
TEST_F(report_without_eras_test, newer_configuration_is_followed_after_a_restore) {
    restore();
    m_fleet.merge_report(old_report(15, "a", 30), at(4s), at(5s));
    EXPECT_EQ(version_in_force(), 15);
}

// Guards against an instance that learns nothing after a restore, because it relies on watchers
// whose reports it cannot use.
TEST_F(report_without_eras_test, instance_follows_the_store_after_a_restore) {
    std::vector<store_entry<fleet::registered_instance>> listed;
    for (const auto* name : {"peer", "peer2"}) {
        fleet::registered_instance peer;
        peer.id = instance_id(name);
        peer.zone = own().zone;
        peer.capacity = 1000;
        listed.push_back({name, {1, 36}, false, peer});
    }
    m_fleet.update_instances({listed, {1, 36}}, at(3s));
    m_fleet.merge_report(old_report(12, "a", 30), at(4s), at(4s));
    ASSERT_FALSE(m_fleet.watches_store(at(4s)));
    restore();
    m_fleet.merge_report(old_report(12, "a", 30), at(7s), at(7s));
    EXPECT_TRUE(m_fleet.watches_store(at(7s)));
}

} // namespace
} // namespace oriole::entry
