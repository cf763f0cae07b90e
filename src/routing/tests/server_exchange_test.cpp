#include "routing/tests/fake_servers.h"

#include "routing/server_exchange.h"

#include <gtest/gtest.h>

namespace oriole::routing {
namespace {

using namespace std::chrono_literals;
using sessions::command_kind;

class server_exchange_test : public testing::Test {
protected:
    server_exchange_test() {
        m_pool->set_limit(4);
        m_plan.statement.id = "1";
        m_plan.statement.text = "READ a";
    }

    exchange_result run() { return run_coroutine(m_io, exchange_once(m_plan)); }

    boost::asio::awaitable<exchange_result> exchange_once(exchange_plan plan) {
        sessions::session_values values;
        auto grant = co_await m_pool->acquire(account_name("t"), values, steady_clock().now() + 1s);
        m_connection = std::move(grant.connection);
        co_return co_await exchange(*m_pool, *m_connection, std::move(plan), 100ms);
    }

    bool received(command_kind kind) {
        for (const auto& command : m_servers.at("s").received) {
            if (command.kind == kind) {
                return true;
            }
        }
        return false;
    }

    boost::asio::io_context m_io;
    fake_servers m_servers;
    std::shared_ptr<server_pool> m_pool =
        std::make_shared<server_pool>(m_io.get_executor(), m_servers, fake_listed("s", "z"));
    std::unique_ptr<pooled_connection> m_connection;
    exchange_plan m_plan;
};

// Guards against a transaction's first statement that runs outside the transaction: the begin was
// refused as lagging, and the read that was sent along with it ran on its own.
TEST_F(server_exchange_test, statement_is_not_sent_when_the_transaction_begin_is_refused) {
    m_plan.transaction_begin.emplace();
    m_plan.transaction_begin->kind = command_kind::begin_read;
    m_plan.transaction_begin->after = machines::log_position(9, 9);
    m_plan.await_transaction_begin = true;
    const auto result = run();
    EXPECT_EQ(result.status, exchange_status::not_run);
    EXPECT_EQ(result.answer.code, sessions::answer_code::lagging);
    EXPECT_FALSE(received(command_kind::caller_statement));
}

// Guards against taking a late answer to this statement for the answer to the next one.
TEST_F(server_exchange_test, timed_out_exchange_reports_the_number_of_pending_answers) {
    m_servers.at("s").primary = true;
    m_servers.at("s").no_answer_to = command_kind::caller_statement;
    m_plan.transaction_begin.emplace();
    m_plan.transaction_begin->kind = command_kind::begin;
    m_plan.rolls_back = true;
    const auto result = run();
    EXPECT_EQ(result.status, exchange_status::timed_out);
    EXPECT_EQ(result.answers_due, 2);
}

// Guards against reporting not_run for a write that was sent together with the command that failed.
TEST_F(server_exchange_test, write_sent_with_a_failed_command_may_have_run) {
    m_plan.values = {{"a", "1"}};
    m_plan.writes = true;
    m_servers.at("s").breaks_on = command_kind::set_value;
    EXPECT_EQ(run().status, exchange_status::connection_lost);
}

// Guards against values that count as set on a connection although the server never acknowledged
// them.
TEST_F(server_exchange_test, acknowledged_values_are_not_sent_again) {
    m_plan.values = {{"a", "1"}};
    EXPECT_EQ(run().status, exchange_status::answered);
    EXPECT_EQ(m_connection->session_state.distance({{"a", "1"}}), 0);
    EXPECT_GT(m_connection->session_state.distance({{"a", "2"}}), 0);
}

// Guards against taking the rollback's answer for that of the read. In the soak test with seed 13 a
// client received a success answer without a server's signature because of this.
TEST_F(server_exchange_test, answer_without_a_signature_is_not_taken_for_the_statements_answer) {
    m_servers.at("s").primary = true;
    m_servers.at("s").loses_answer_to = command_kind::caller_statement;
    m_plan.transaction_begin.emplace();
    m_plan.transaction_begin->kind = command_kind::begin;
    m_plan.rolls_back = true;
    EXPECT_EQ(run().status, exchange_status::connection_lost);
}

// Guards against running a statement with another session's values: after its late answers were
// read, a connection counted as still holding its earlier values. It was seen on the test day
// scale-2 of the enlarged Sprout site (see docs/measurements.md).
TEST_F(server_exchange_test, connection_with_unacknowledged_values_is_not_reused) {
    m_plan.values = {{"a", "1"}};
    ASSERT_EQ(run().status, exchange_status::answered);
    m_pool->release(std::move(m_connection));
    m_plan.values = {{"a", "2"}};
    m_servers.at("s").no_answer_to = command_kind::set_value;
    const auto result = run();
    ASSERT_EQ(result.status, exchange_status::timed_out);
    m_servers.at("s").no_answer_to.reset();
    m_pool->release_after_answers(std::move(m_connection), result.answers_due);
    m_plan.values = {{"a", "1"}};
    m_servers.at("s").received.clear();
    ASSERT_EQ(run().status, exchange_status::answered);
    EXPECT_TRUE(received(command_kind::set_value));
}

// Guards against a lost primary that is never replaced, because a single client waits for each
// statement's time limit and the evidence of the failure ends with the statement.
TEST_F(server_exchange_test, server_that_answers_nothing_counts_as_failing_after_a_timeout) {
    m_servers.at("s").no_answer_to = command_kind::caller_statement;
    const auto started = steady_clock().now();
    EXPECT_EQ(run().status, exchange_status::timed_out);
    m_pool->discard(std::move(m_connection));
    const auto evidence = m_pool->evidence(steady_clock().now());
    ASSERT_TRUE(evidence.failing_since);
    EXPECT_LT(*evidence.failing_since, started + 100ms);
}

// Guards against a server that counts as failing because of one slow statement, although it answers
// others.
TEST_F(server_exchange_test, server_that_answers_other_statements_does_not_count_as_failing) {
    m_servers.at("s").no_answer_to = command_kind::caller_statement;
    auto other = run_coroutine(m_io, m_pool->acquire(account_name("t"), {}, steady_clock().now()));
    boost::asio::steady_timer timer(m_io, 50ms);
    timer.async_wait([&](const boost::system::error_code&) {
        m_pool->mark_answered(*other.connection, steady_clock().now());
    });
    EXPECT_EQ(run().status, exchange_status::timed_out);
    m_pool->discard(std::move(m_connection));
    EXPECT_FALSE(m_pool->evidence(steady_clock().now()).failing_since);
}

} // namespace
} // namespace oriole::routing
