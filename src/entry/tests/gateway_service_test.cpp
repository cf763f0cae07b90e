#include "recording_log.h"
#include "routing/tests/fake_servers.h"

#include "entry/internal/forwarding_executor.h"
#include "entry/internal/gateway_link.h"
#include "entry/internal/gateway_service.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using routing::fake_listed;
using routing::fake_servers;
using routing::server_script;

using namespace std::chrono_literals;
using sessions::answer_code;
using sessions::command_kind;

/// Counts the statements that run over the instance's own connections instead of at the gateway.
class counting_executor final : public statement_executor {
public:
    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_autocommit(routing::statement_run) override {
        ++runs;
        co_return routing::run_outcome{};
    }

    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_first(routing::statement_run, bool, std::unique_ptr<statement_transaction>&) override {
        ++runs;
        co_return routing::run_outcome{};
    }

    int runs = 0;
};

/// A gateway with a fake primary, and an instance that forwards its statements to it.
class gateway_service_test : public testing::Test {
protected:
    gateway_service_test() {
        m_route.service = service_name("db");
        m_route.policy = fleet::read_policy::newest;
        m_route.statement_timeout = 10s;
        m_route.latency_target = 1s;
        fleet::usable_server primary;
        primary.listed = fake_listed("primary", "zone");
        primary.primary = true;
        primary.connections = {2, 2};
        fleet::fleet_view view;
        view.servers[service_name("db")] = {primary};
        m_primary.primary = true;
        m_context.apply(std::make_shared<const fleet::fleet_view>(view));
        fleet::registered_instance gateway;
        gateway.id = instance_id("gateway");
        gateway.gateway_address = m_gateway.address();
        m_executor.set_gateways({gateway});
    }

    routing::statement_run make(const std::string& text) {
        routing::statement_run run;
        run.route = &m_route;
        run.account = account_name("t");
        run.statement.id = "1";
        run.statement.text = text;
        run.decision.step = sessions::session_step::run;
        run.decision.writes = text.starts_with("WRITE");
        run.statement.kind = text == "COMMIT"      ? sessions::statement_kind::commit
                             : run.decision.writes ? sessions::statement_kind::write
                                                   : sessions::statement_kind::read;
        run.arrived = steady_clock().now();
        return run;
    }

    /// Runs the event loop until the coroutine has ended, although the gateway still listens.
    routing::run_outcome finish(boost::asio::awaitable<routing::run_outcome> work) {
        std::optional<routing::run_outcome> result;
        boost::asio::co_spawn(m_io, std::move(work),
                              [&](const std::exception_ptr&, routing::run_outcome outcome) {
                                  result = std::move(outcome);
                              });
        m_io.restart();
        while (!result && m_io.run_one_for(10s) == 1U) {
        }
        return std::move(result).value();
    }

    routing::run_outcome run_autocommit(const std::string& text) {
        return finish(m_executor.run_autocommit(make(text)));
    }

    routing::run_outcome begin(const std::string& text) {
        return finish(m_executor.run_first(make(text), false, m_transaction));
    }

    routing::run_outcome next(const std::string& text) {
        return finish(m_transaction->run_next(make(text)));
    }

    static std::string too_long_row() { return std::string(links::max_peer_message_bytes, 'x'); }

    static entry_settings make_settings() {
        entry_settings settings;
        settings.fenced_promotions = true;
        return settings;
    }

    boost::asio::io_context m_io;
    fleet::route m_route;
    recording_log m_log;
    metric_registry m_metrics;
    fake_servers m_servers;
    server_script& m_primary = m_servers.at("primary");
    traffic_context m_context{m_io.get_executor(), m_servers, make_settings(), m_log, m_metrics};
    gateway_service m_gateway{m_io.get_executor(), {"127.0.0.1", 0}, m_context};
    gateway_link m_link{m_io.get_executor(), m_log, m_metrics};
    counting_executor m_local;
    forwarding_executor m_executor{m_link, m_local};
    std::unique_ptr<statement_transaction> m_transaction;
};

// Guards against a write that runs twice, because an error of the gateway after the server ran it
// is taken for a refusal.
TEST_F(gateway_service_test, write_is_in_doubt_after_an_unexpected_error_of_the_gateway) {
    m_primary.fails_on = command_kind::caller_statement;
    EXPECT_EQ(run_autocommit("WRITE a b").answer.code, answer_code::in_doubt);
    EXPECT_EQ(m_local.runs, 0);
    EXPECT_EQ(m_primary.statements, 1);
}

// Guards against a transaction that stays open at the gateway, with its locks and its connection,
// because an error left it marked as running a statement.
TEST_F(gateway_service_test, transaction_ends_with_an_unexpected_error_of_the_gateway) {
    ASSERT_EQ(begin("WRITE a b").answer.code, answer_code::ok);
    ASSERT_FALSE(m_gateway.idle());
    m_primary.fails_on = command_kind::caller_statement;
    EXPECT_EQ(next("WRITE a c").answer.code, answer_code::aborted);
    EXPECT_TRUE(m_gateway.idle());
    EXPECT_EQ(m_primary.connections, 0);
}

// Guards against a transaction that is no longer found after its first statement.
TEST_F(gateway_service_test, transaction_runs_at_the_gateway_until_its_commit) {
    ASSERT_EQ(begin("WRITE a b").answer.code, answer_code::ok);
    ASSERT_EQ(next("WRITE a c").answer.code, answer_code::ok);
    EXPECT_FALSE(m_gateway.idle());
    EXPECT_EQ(next("COMMIT").answer.code, answer_code::ok);
    EXPECT_TRUE(m_gateway.idle());
    EXPECT_EQ(m_primary.opened, 1);
}

// Guards against an answer in any script that does not pass a gateway, although a server sends it
// in one message.
TEST_F(gateway_service_test, longest_row_of_a_server_passes) {
    m_primary.row = std::string((std::size_t{1} << 20U) - 100, '\xe5');
    const auto outcome = run_autocommit("READ a");
    EXPECT_TRUE(outcome.answer.rows == std::vector{m_primary.row}); // too long to be printed
    EXPECT_EQ(m_local.runs, 0);
}

// Guards against a read that is never answered, and a gateway that counts as lost for all others,
// because of an answer that is too long for a message between instances.
TEST_F(gateway_service_test, read_with_a_too_long_answer_runs_over_own_connections) {
    m_primary.row = too_long_row();
    EXPECT_EQ(run_autocommit("READ a").answer.code, answer_code::ok);
    EXPECT_EQ(begin("READ a").answer.code, answer_code::ok);
    EXPECT_EQ(m_local.runs, 2);
    EXPECT_TRUE(m_gateway.idle());
    EXPECT_TRUE(m_link.usable(instance_id("gateway"), steady_clock().now()));
}

// Guards against a write that runs a second time because its answer is too long for a message.
TEST_F(gateway_service_test, write_with_a_too_long_answer_is_in_doubt) {
    m_primary.row = too_long_row();
    EXPECT_EQ(run_autocommit("WRITE a b").answer.code, answer_code::in_doubt);
    EXPECT_EQ(m_local.runs, 0);
    EXPECT_TRUE(m_link.usable(instance_id("gateway"), steady_clock().now()));
}

// Guards against a transaction that stays open at the gateway after its client was told that it was
// aborted.
TEST_F(gateway_service_test, transaction_ends_with_a_too_long_answer) {
    ASSERT_EQ(begin("READ a").answer.code, answer_code::ok);
    m_primary.row = too_long_row();
    const auto outcome = next("READ b");
    EXPECT_EQ(outcome.answer.code, answer_code::aborted);
    EXPECT_TRUE(outcome.transaction_finished);
    EXPECT_TRUE(m_gateway.idle());
    EXPECT_TRUE(m_link.usable(instance_id("gateway"), steady_clock().now()));
}

// Guards against a write that is in doubt for the other instance, because the gateway ends while
// the write waits for a connection to its server.
TEST_F(gateway_service_test, write_that_waits_at_a_gateway_runs_elsewhere_when_it_is_withdrawn) {
    m_primary.answer_delay = 400ms;
    std::vector<routing::run_outcome> outcomes;
    const auto collect = [&outcomes](const std::exception_ptr&, routing::run_outcome outcome) {
        outcomes.push_back(std::move(outcome));
    };
    for (const auto* text : {"WRITE a b", "WRITE a c"}) {
        boost::asio::co_spawn(m_io, m_executor.run_autocommit(make(text)), collect);
    }
    while (m_primary.received.size() < 2) {
        ASSERT_EQ(m_io.run_one_for(10s), 1U);
    }
    // The gateway has no third connection.
    boost::asio::co_spawn(m_io, m_executor.run_autocommit(make("WRITE a d")), collect);
    m_io.run_for(100ms);
    m_gateway.withdraw_waiting();
    m_context.refuse_waiting();
    while (outcomes.size() < 3) {
        ASSERT_EQ(m_io.run_one_for(10s), 1U);
    }
    for (const auto& outcome : outcomes) {
        EXPECT_EQ(outcome.answer.code, answer_code::ok);
    }
    EXPECT_EQ(m_primary.statements, 2);
    EXPECT_EQ(m_local.runs, 1);
}

// Guards against a statement that no instance runs, because its gateway is shutting down.
TEST_F(gateway_service_test, write_that_a_leaving_gateway_refuses_runs_elsewhere) {
    m_gateway.leave();
    EXPECT_EQ(run_autocommit("WRITE a b").answer.code, answer_code::ok);
    EXPECT_EQ(m_local.runs, 1);
    EXPECT_EQ(m_primary.statements, 0);
}

} // namespace
} // namespace oriole::entry
