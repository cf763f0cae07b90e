#include "recording_log.h"
#include "routing/tests/fake_servers.h"

#include "entry/internal/replica_survey.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using routing::fake_listed;
using routing::fake_servers;
using routing::run_coroutine;
using routing::server_script;

using namespace std::chrono_literals;
using machines::log_position;
using sessions::command_kind;

/// Asks two replicas of a lost primary, one of which has to receive a commit before it is
/// acknowledged.
class replica_survey_test : public testing::Test {
protected:
    replica_survey_test() {
        auto config = std::make_shared<fleet::configuration>();
        config->version = 1;
        config->accounts.push_back({account_name("t"), {"key"}, 100, 100});
        m_fleet.update_configuration(config, {1, 1}, "test");
        store_page<fleet::registered_server> page;
        page.revision = {1, 3};
        for (const auto* name : {"a", "b"}) {
            auto server = fake_listed(name, "zone");
            server.revision = {1, 2};
            page.objects.push_back({name, {1, 2}, false, server});
        }
        m_fleet.update_servers(page, true, steady_clock().now());
        m_change.candidates = {server_name("a"), server_name("b")};
        m_change.synchronous_replicas = 1;
        m_a.position = {1, 10};
        m_b.position = {1, 11};
    }

    static fleet::registered_instance own() {
        fleet::registered_instance instance;
        instance.id = instance_id("own");
        instance.zone = zone_name("zone");
        return instance;
    }

    /// The position of the server's log, by the answer to ask_and_pause().
    std::optional<log_position> received(const std::string& server) {
        const auto logs = run_coroutine(m_io, m_survey.ask_and_pause(service_name("db"), m_change));
        for (const auto& log : logs) {
            if (log.server == server_name(server)) {
                return log.received;
            }
        }
        throw std::logic_error("the server was not asked");
    }

    boost::asio::io_context m_io;
    recording_log m_log;
    fake_servers m_servers;
    server_script& m_a = m_servers.at("a");
    server_script& m_b = m_servers.at("b");
    fleet_state m_fleet{own(), m_log};
    server_queries m_queries{m_io.get_executor(), m_servers, m_log};
    replica_survey m_survey{m_fleet, m_queries, [](const server_name&) { return false; },
                            [](const server_name&) { return false; }};
    fleet::primary_change m_change;
};

// Guards against a promotion that loses commits, because a replica that received them before it was
// paused, and whose answer was lost, counts with its earlier position.
TEST_F(replica_survey_test, lost_answer_to_a_pause_is_asked_for_again) {
    m_a.breaks_on = command_kind::pause_receiving;
    m_a.on_break = [this] {
        m_a.position = {1, 12};
        m_a.breaks_on.reset();
    };
    EXPECT_EQ(received("a"), log_position(1, 12));
    EXPECT_EQ(m_a.received.back().kind, command_kind::pause_receiving);
}

// Guards against the same for replicas that cannot be paused.
TEST_F(replica_survey_test,
       replica_that_ends_connections_on_a_pause_counts_with_its_newest_position) {
    m_a.breaks_on = command_kind::pause_receiving;
    m_a.on_break = [this] { m_a.position = {1, 12}; };
    EXPECT_EQ(received("a"), log_position(1, 12));
}

TEST_F(replica_survey_test, replica_that_refuses_a_pause_counts_with_its_position) {
    m_a.rejects = command_kind::pause_receiving;
    EXPECT_EQ(received("a"), log_position(1, 10));
}

// Guards against the promotion of a replica that has ended since it was asked for its position.
TEST_F(replica_survey_test, replica_that_has_ended_has_not_answered) {
    m_a.breaks_on = command_kind::pause_receiving;
    m_a.on_break = [this] { m_a.refuses_connections = true; };
    EXPECT_EQ(received("a"), std::nullopt);
    EXPECT_EQ(received("b"), log_position(1, 11));
}

} // namespace
} // namespace oriole::entry
