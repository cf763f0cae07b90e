#include "recording_log.h"
#include "routing/tests/fake_servers.h"

#include "entry/internal/server_queries.h"
#include "routing/checked_connector.h"
#include "routing/statement_runner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::entry {
namespace {

using routing::fake_listed;
using routing::fake_servers;
using routing::run_coroutine;
using routing::server_script;

using namespace std::chrono_literals;
using sessions::answer_code;
using sessions::command_kind;

/// Statements at a primary and a replica that repeat answers.
class checked_connector_test : public testing::Test {
protected:
    checked_connector_test() {
        m_route.service = service_name("db");
        m_route.policy = fleet::read_policy::bounded_age;
        m_route.max_age = 1500ms;
        m_route.latency_target = 400ms;
        m_route.statement_timeout = 300ms;
        m_primary.primary = true;
        std::vector<fleet::usable_server> usable(2);
        usable[0].listed = fake_listed("primary", "far");
        usable[0].primary = true;
        usable[0].connections = {2, 2};
        usable[1].listed = fake_listed("replica", "near");
        usable[1].connections = {2, 2};
        m_service.apply(usable);
    }

    routing::statement_run make(const std::string& text) {
        routing::statement_run run;
        run.route = &m_route;
        run.account = account_name("t");
        run.statement.id = "5c0e";
        run.statement.text = text;
        run.decision.step = sessions::session_step::run;
        run.decision.writes = text.starts_with("WRITE");
        run.statement.kind = text == "COMMIT"      ? sessions::statement_kind::commit
                             : run.decision.writes ? sessions::statement_kind::write
                                                   : sessions::statement_kind::read;
        run.values = m_values;
        run.arrived = steady_clock().now();
        return run;
    }

    sessions::server_answer run(const std::string& text) {
        return run_coroutine(m_io, m_runner.run_autocommit(m_service, make(text))).answer;
    }

    sessions::server_answer run_first(const std::string& text) {
        return run_coroutine(m_io, m_runner.run_first(m_service, make(text), false, m_transaction))
            .answer;
    }

    sessions::server_answer run_next(const std::string& text) {
        return run_coroutine(m_io, m_runner.run_next(m_service, make(text), *m_transaction)).answer;
    }

    void prove_position() { m_service.add_peer_proof({boot_clock().now(), {1, 10}}); }

    /// Acquires the pool's only connection, on which a read has received an error, by waiting for
    /// it.
    routing::pool_grant wait_for_connection_with_an_error() {
        m_primary.busy_statements = 1;
        const auto pool = std::make_shared<routing::server_pool>(m_io.get_executor(), m_connector,
                                                                 fake_listed("primary", "far"));
        pool->set_limit(1);
        const account_name account("t");
        auto held = run_coroutine(m_io, pool->acquire(account, {}, steady_clock().now()));
        routing::exchange_plan plan;
        plan.statement.text = "READ a";
        static_cast<void>(run_coroutine(m_io, exchange(*pool, *held.connection, plan, 100ms)));
        boost::asio::steady_timer timer(m_io, 5ms);
        timer.async_wait(
            [&](const boost::system::error_code&) { pool->release(std::move(held.connection)); });
        return run_coroutine(m_io, pool->acquire(account, {}, steady_clock().now() + 1s));
    }

    /// Number of commands of this kind that the primary has received.
    std::ptrdiff_t received(command_kind kind) {
        return std::count_if(m_primary.received.begin(), m_primary.received.end(),
                             [kind](const auto& command) { return command.kind == kind; });
    }

    /// Makes the pool of a server with this number of connections, one of which is being confirmed
    /// until the coroutines run again.
    std::shared_ptr<routing::server_pool> pool_with_a_confirmation(int limit) {
        m_primary.busy_statements = 1;
        auto pool = std::make_shared<routing::server_pool>(m_io.get_executor(), m_connector,
                                                           fake_listed("primary", "far"));
        pool->set_limit(limit);
        auto held = acquire(*pool, "t");
        routing::exchange_plan plan;
        plan.statement.text = "READ a";
        static_cast<void>(run_coroutine(m_io, exchange(*pool, *held.connection, plan, 100ms)));
        m_primary.answer_delay = 5ms;
        pool->release(std::move(held.connection));
        return pool;
    }

    routing::pool_grant acquire(routing::server_pool& pool, const std::string& account) {
        return run_coroutine(m_io,
                             pool.acquire(account_name(account), {}, steady_clock().now() + 1s));
    }

    std::int64_t unexpected_answers() {
        return m_metrics.get("oriole_unexpected_answers_total").value();
    }

    boost::asio::io_context m_io;
    fake_servers m_servers;
    server_script& m_primary = m_servers.at("primary");
    server_script& m_replica = m_servers.at("replica");
    recording_log m_log;
    metric_registry m_metrics;
    routing::checked_connector m_connector{m_servers, m_log, m_metrics};
    fleet::route m_route;
    routing::service_traffic m_service{m_io.get_executor(), m_connector, zone_name("near")};
    routing::statement_runner m_runner;
    sessions::session_values m_values;
    std::unique_ptr<routing::open_transaction> m_transaction;
};

// Guards against a write that runs twice: the repeated BUSY of its first attempt was taken for the
// answer to the second one, which was committed, and the write was tried a third time.
TEST_F(checked_connector_test, write_after_a_repeated_error_runs_once) {
    m_primary.busy_statements = 1;
    m_primary.repeats_answer_to = command_kind::caller_statement;
    EXPECT_EQ(run("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(m_primary.statements, 1);
    EXPECT_EQ(m_primary.opened, 2);
}

// Guards against the same where the repeated BUSY arrives later: the second attempt is in doubt.
TEST_F(checked_connector_test, write_that_gets_a_late_repeated_error_is_in_doubt) {
    m_primary.busy_statements = 1;
    m_primary.repeats_answer_to = command_kind::caller_statement;
    m_primary.repeats_in_place_of = command_kind::caller_statement;
    EXPECT_EQ(run("WRITE a b").code, answer_code::in_doubt);
    EXPECT_EQ(m_primary.statements, 1);
    EXPECT_EQ(m_primary.opened, 1);
    EXPECT_EQ(m_primary.connections, 0);
}

// Guards against a write that is in doubt on each connection that has had an error.
TEST_F(checked_connector_test, second_error_of_a_write_is_confirmed) {
    m_primary.busy_statements = 2;
    EXPECT_EQ(run("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(m_primary.statements, 1);
    EXPECT_EQ(m_primary.opened, 1);
    EXPECT_EQ(unexpected_answers(), 0);
}

// Guards against a statement that runs without its session's values, which the confirmation drops.
TEST_F(checked_connector_test, session_value_is_set_again_after_a_confirmation) {
    m_values["v"] = "1";
    m_primary.busy_statements = 1;
    EXPECT_EQ(run("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(received(command_kind::set_value), 2);
    EXPECT_EQ(m_primary.received.back().kind, command_kind::caller_statement);
}

// Guards against a read that gets the rows of an earlier read on its connection.
TEST_F(checked_connector_test, read_that_gets_an_earlier_answer_runs_at_another_server) {
    prove_position();
    ASSERT_EQ(run("READ a").code, answer_code::ok);
    m_replica.repeats_answer_to = command_kind::caller_statement;
    ASSERT_EQ(run("READ b").code, answer_code::ok);
    m_replica.repeats_answer_to.reset();
    EXPECT_EQ(run("READ c").rows, std::vector<std::string>{"READ c"});
    EXPECT_EQ(m_replica.connections, 0);
    EXPECT_EQ(unexpected_answers(), 1);
}

// Guards against a write that is acknowledged, or said not to have run, by an earlier answer.
TEST_F(checked_connector_test, write_that_gets_an_earlier_answer_is_in_doubt) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    ASSERT_EQ(run("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(run("WRITE c d").code, answer_code::in_doubt);
    EXPECT_EQ(m_primary.statements, 1);
    EXPECT_EQ(m_primary.received.size(), 2U);
}

// Guards against a statement that is sent on a connection with an answer that nothing asked for,
// and against reporting that it may have run.
TEST_F(checked_connector_test, statement_is_not_sent_behind_an_answer_that_is_not_due) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    m_primary.repeats_when_idle = true;
    ASSERT_EQ(run("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(run("WRITE c d").code, answer_code::ok);
    EXPECT_EQ(m_primary.statements, 2);
    EXPECT_EQ(m_primary.opened, 2);
}

// Guards against the same between the statements of a transaction, which stays on its connection:
// nothing of it is kept, as its commit was not sent.
TEST_F(checked_connector_test, transaction_ends_behind_an_answer_that_is_not_due) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    m_primary.repeats_when_idle = true;
    ASSERT_EQ(run_first("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(run_next("COMMIT").code, answer_code::aborted);
    EXPECT_EQ(m_primary.received.size(), 2U);
    EXPECT_EQ(m_primary.connections, 0);
}

// Guards against a commit that is acknowledged, or said not to have run, by an earlier answer.
TEST_F(checked_connector_test, commit_that_gets_an_earlier_answer_is_in_doubt) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    ASSERT_EQ(run_first("WRITE a b").code, answer_code::ok);
    EXPECT_EQ(run_next("COMMIT").code, answer_code::in_doubt);
}

// Guards against a promise to the first write of a transaction whose begin was acknowledged by an
// earlier answer: the write may have run outside the transaction.
TEST_F(checked_connector_test, first_write_that_gets_the_answer_to_the_begin_is_in_doubt) {
    m_primary.repeats_answer_to = command_kind::begin;
    EXPECT_EQ(run_first("WRITE a b").code, answer_code::in_doubt);
    EXPECT_EQ(m_primary.connections, 0);
}

// Guards against a first write that runs a second time, because the connection broke after an
// earlier begin's answer was taken for its own begin's, and the write ran outside the transaction.
TEST_F(checked_connector_test, first_write_on_a_broken_connection_is_in_doubt) {
    m_primary.repeats_answer_to = command_kind::begin;
    m_primary.repeats_in_place_of = command_kind::begin;
    ASSERT_EQ(run_first("WRITE a b").code, answer_code::ok);
    ASSERT_EQ(run_next("COMMIT").code, answer_code::ok);
    m_primary.breaks_on = command_kind::begin;
    EXPECT_EQ(run_first("WRITE c d").code, answer_code::in_doubt);
    EXPECT_EQ(m_primary.received.back().text, "WRITE c d");
    EXPECT_EQ(m_primary.opened, 1);
}

// Guards against a caller that is told to try again although its read always fails.
TEST_F(checked_connector_test, repeated_failure_of_a_read_is_confirmed) {
    m_primary.fails_statements = true;
    EXPECT_EQ(run("READ a").code, answer_code::failed);
    EXPECT_EQ(run("READ a").code, answer_code::failed);
    EXPECT_EQ(m_primary.opened, 1);
    EXPECT_EQ(unexpected_answers(), 0);
}

// Guards against a server that counts as silent although it has answered the statement.
TEST_F(checked_connector_test, confirmation_without_an_answer_does_not_count_against_the_server) {
    ASSERT_EQ(run("READ a").code, answer_code::ok);
    m_primary.fails_statements = true;
    ASSERT_EQ(run("WRITE a b").code, answer_code::failed);
    m_primary.no_answer_to = command_kind::reset;
    EXPECT_EQ(run("WRITE a b").code, answer_code::in_doubt);
    EXPECT_FALSE(m_service.primary()->evidence(steady_clock().now()).failing_since);
    EXPECT_EQ(m_primary.connections, 0);
}

// Guards against a connection that returns to the pool after the answers to a read that was given
// up were another statement's.
TEST_F(checked_connector_test, connection_is_closed_when_a_late_answer_does_not_match) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    ASSERT_EQ(run("READ a").code, answer_code::ok);
    EXPECT_EQ(m_primary.connections, 0);
    EXPECT_EQ(unexpected_answers(), 1);
}

// Guards against a healthy server that counts as failing, and is replaced, because it repeats an
// answer.
TEST_F(checked_connector_test, server_that_repeats_an_answer_does_not_count_as_failing) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    ASSERT_EQ(run("WRITE a b").code, answer_code::ok);
    ASSERT_EQ(run("WRITE c d").code, answer_code::in_doubt);
    EXPECT_FALSE(m_service.primary()->evidence(steady_clock().now()).failing_since);
}

// Guards against a connection with an error that is handed on although its answer may be due.
TEST_F(checked_connector_test, connection_with_a_repeated_error_is_not_handed_to_a_waiter) {
    m_primary.repeats_answer_to = command_kind::caller_statement;
    const auto waiter = wait_for_connection_with_an_error();
    EXPECT_TRUE(waiter.connection);
    EXPECT_EQ(m_primary.opened, 2);
}

// Guards against opening a connection, which takes one of the server's execution slots, for each
// statement that a busy server refuses.
TEST_F(checked_connector_test, connection_with_an_error_is_confirmed_for_a_waiter) {
    const auto waiter = wait_for_connection_with_an_error();
    EXPECT_TRUE(waiter.connection);
    EXPECT_EQ(m_primary.opened, 1);
    EXPECT_EQ(m_primary.received.back().kind, command_kind::reset);
}

// Guards against requests that wait in turn for one connection although the server has room for
// more.
TEST_F(checked_connector_test, second_request_does_not_wait_for_the_same_confirmation) {
    const auto pool = pool_with_a_confirmation(2);
    EXPECT_FALSE(pool->available(account_name("t")));
    routing::pool_grant first;
    boost::asio::co_spawn(m_io, pool->acquire(account_name("t"), {}, steady_clock().now() + 1s),
                          [&first](const std::exception_ptr&, routing::pool_grant grant) {
                              first = std::move(grant);
                          });
    auto second = acquire(*pool, "t");
    EXPECT_TRUE(first.connection);
    EXPECT_FALSE(first.opened);
    EXPECT_TRUE(second.connection);
    EXPECT_TRUE(second.opened);
}

// Guards against closing a connection of another account that the pool has room for.
TEST_F(checked_connector_test, connection_is_kept_while_others_wait_for_a_confirmation) {
    const auto pool = std::make_shared<routing::server_pool>(m_io.get_executor(), m_connector,
                                                             fake_listed("primary", "far"));
    pool->set_limit(3);
    auto other = acquire(*pool, "other");
    auto held = acquire(*pool, "t");
    m_primary.busy_statements = 1;
    routing::exchange_plan plan;
    plan.statement.text = "READ a";
    static_cast<void>(run_coroutine(m_io, exchange(*pool, *held.connection, plan, 100ms)));
    m_primary.answer_delay = 5ms;
    pool->release(std::move(held.connection));
    boost::asio::steady_timer timer(m_io, 5ms);
    timer.async_wait(
        [&](const boost::system::error_code&) { pool->release(std::move(other.connection)); });
    EXPECT_TRUE(acquire(*pool, "t").connection);
    EXPECT_EQ(m_primary.opened, 2);
    EXPECT_EQ(m_primary.connections, 2);
}

// Guards against a read that gets the repetition of another read's error, and against a later read
// that gets the answer which was still due.
TEST_F(checked_connector_test, read_that_gets_an_earlier_error_runs_at_another_server) {
    prove_position();
    m_replica.busy_statements = 1;
    m_replica.repeats_answer_to = command_kind::caller_statement;
    m_replica.repeats_in_place_of = command_kind::caller_statement;
    ASSERT_EQ(run("READ a").rows, std::vector<std::string>{"READ a"});
    ASSERT_EQ(m_replica.connections, 1);
    EXPECT_EQ(run("READ b").rows, std::vector<std::string>{"READ b"});
    EXPECT_EQ(m_replica.connections, 0);
    EXPECT_EQ(m_replica.statements, 1);
}

// Guards against a server that counts as lacking a command because it repeated an answer.
TEST_F(checked_connector_test, unexpected_status_answer_does_not_reject_the_command) {
    m_primary.claimed_status_rows = {"1", "2"};
    server_queries queries(m_io.get_executor(), m_connector, m_log);
    sessions::server_command command;
    command.kind = command_kind::pause_receiving;
    const auto result = run_coroutine(
        m_io, queries.query(fake_listed("primary", "far"), account_name("t"), command, 100ms));
    EXPECT_FALSE(result.status);
    EXPECT_EQ(result.outcome, query_outcome::no_answer);
}

// Guards against an operator who cannot tell a repeated answer from a lost connection, and against
// log lines without a limit.
TEST_F(checked_connector_test, connection_with_an_unexpected_answer_is_logged_once) {
    prove_position();
    ASSERT_EQ(run("READ a").code, answer_code::ok);
    m_replica.repeats_answer_to = command_kind::caller_statement;
    ASSERT_EQ(run("READ b").code, answer_code::ok);
    auto next = make("READ c");
    next.statement.id = std::string(1000, 'x');
    static_cast<void>(run_coroutine(m_io, m_runner.run_autocommit(m_service, next)));
    ASSERT_EQ(m_log.lines().size(), 1U);
    std::string line("event=unexpected_answer server=replica account=t request=");
    line.append(64, 'x').append(" reason=signature_repeated outcome=connection_closed");
    EXPECT_EQ(m_log.lines().front(), line);
}

} // namespace
} // namespace oriole::entry
