#include "routing/tests/fake_servers.h"

#include "entry/internal/forwarding_executor.h"

#include <gtest/gtest.h>

#include <set>

namespace oriole::entry {
namespace {

using routing::run_coroutine;

using namespace std::chrono_literals;
using sessions::answer_code;

/// Fake gateways by name; each answers, refuses or does not answer.
class fake_gateways final : public gateway_calls {
public:
    [[nodiscard]] bool usable(const instance_id& instance, clock::time_point) const override {
        return !lost.contains(instance);
    }

    [[nodiscard]] boost::asio::awaitable<forwarded_outcome> run(fleet::registered_instance gateway,
                                                                forwarded_statement forwarded,
                                                                clock::time_point) override {
        if (refusing.contains(gateway.id)) {
            throw gateway_refused("fake gateway is shutting down");
        }
        called.push_back(gateway.id);
        if (silent.contains(gateway.id)) {
            throw gateway_outcome_unknown("fake gateway did not answer");
        }
        forwarded_outcome outcome;
        outcome.server = server_name("s");
        outcome.transaction = forwarded.phase == transaction_phase::first ? 7 : 0;
        co_return outcome;
    }

    void roll_back(const fleet::registered_instance&, std::uint64_t transaction) override {
        rolled_back.push_back(transaction);
    }

    [[nodiscard]] boost::asio::awaitable<int> admit(fleet::registered_instance, account_name,
                                                    int operations) override {
        co_return operations;
    }

    std::set<instance_id> lost;
    std::set<instance_id> refusing;
    std::set<instance_id> silent;
    std::vector<instance_id> called;
    std::vector<std::uint64_t> rolled_back;
};

/// Counts the statements that run over the instance's own connections.
class fake_local final : public statement_executor {
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

class forwarding_executor_test : public testing::Test {
protected:
    forwarding_executor_test() {
        m_route.statement_timeout = 800ms;
        m_route.latency_target = 400ms;
        std::vector<fleet::registered_instance> gateways(2);
        gateways[0].id = m_first;
        gateways[1].id = m_second;
        m_executor.set_gateways(gateways);
    }

    routing::statement_run make(const std::string& text) {
        routing::statement_run run;
        run.route = &m_route;
        run.statement.text = text;
        run.decision.writes = text.starts_with("WRITE");
        run.statement.kind = text == "COMMIT"      ? sessions::statement_kind::commit
                             : run.decision.writes ? sessions::statement_kind::write
                                                   : sessions::statement_kind::read;
        run.arrived = steady_clock().now();
        return run;
    }

    routing::run_outcome run_autocommit(const std::string& text) {
        return run_coroutine(m_io, m_executor.run_autocommit(make(text)));
    }

    routing::run_outcome begin(const std::string& text) {
        return run_coroutine(m_io, m_executor.run_first(make(text), false, m_transaction));
    }

    routing::run_outcome next(const std::string& text) {
        return run_coroutine(m_io, m_transaction->run_next(make(text)));
    }

    const instance_id m_first{"g1"};
    const instance_id m_second{"g2"};
    boost::asio::io_context m_io;
    fleet::route m_route;
    fake_gateways m_gateways;
    fake_local m_local;
    forwarding_executor m_executor{m_gateways, m_local};
    std::unique_ptr<statement_transaction> m_transaction;
};

// Guards against every instance opening its own connections to the servers.
TEST_F(forwarding_executor_test, statement_runs_at_the_first_gateway) {
    EXPECT_EQ(run_autocommit("READ a").gateway, m_first);
    EXPECT_EQ(m_local.runs, 0);
}

// Guards against statements that fail because their gateway has stopped or is shutting down.
TEST_F(forwarding_executor_test, refused_statement_runs_at_the_next_gateway) {
    m_gateways.refusing = {m_first};
    EXPECT_EQ(run_autocommit("WRITE a b").gateway, m_second);
    EXPECT_EQ(begin("WRITE a b").gateway, m_second);
}

// Guards against an instance that serves no clients because it cannot reach another instance.
TEST_F(forwarding_executor_test, statement_runs_locally_when_no_gateway_is_reachable) {
    m_gateways.lost = {m_first, m_second};
    EXPECT_EQ(run_autocommit("READ a").answer.code, answer_code::ok);
    EXPECT_EQ(m_local.runs, 1);
}

// Guards against a write that takes effect twice, because the gateway may have run it before it
// stopped answering.
TEST_F(forwarding_executor_test, write_without_gateway_answer_is_in_doubt_and_not_retried) {
    m_gateways.silent = {m_first};
    EXPECT_EQ(run_autocommit("WRITE a b").answer.code, answer_code::in_doubt);
    EXPECT_EQ(m_gateways.called, std::vector<instance_id>{m_first});
    EXPECT_EQ(m_local.runs, 0);
}

// Guards against a read that fails because its gateway does not answer.
TEST_F(forwarding_executor_test, read_without_gateway_answer_runs_at_the_next_gateway) {
    m_gateways.silent = {m_first};
    EXPECT_EQ(run_autocommit("READ a").gateway, m_second);
}

// Guards against answering in_doubt for a transaction that can no longer be committed.
TEST_F(forwarding_executor_test, transaction_without_answer_to_its_first_statement_is_aborted) {
    m_gateways.silent = {m_first};
    EXPECT_EQ(begin("WRITE a b").answer.code, answer_code::aborted);
    EXPECT_EQ(m_transaction, nullptr);
}

// Guards against answering aborted for a commit that may have succeeded.
TEST_F(forwarding_executor_test, commit_without_an_answer_is_in_doubt) {
    ASSERT_EQ(begin("WRITE a b").answer.code, answer_code::ok);
    m_gateways.silent = {m_first};
    const auto outcome = next("COMMIT");
    EXPECT_EQ(outcome.answer.code, answer_code::in_doubt);
    EXPECT_TRUE(outcome.transaction_finished);
}

// Guards against answering in_doubt for a transaction that has changed nothing.
TEST_F(forwarding_executor_test, commit_of_a_read_only_transaction_without_answer_is_aborted) {
    ASSERT_EQ(begin("READ a").answer.code, answer_code::ok);
    m_gateways.silent = {m_first};
    EXPECT_EQ(next("COMMIT").answer.code, answer_code::aborted);
}

// Guards against transactions that stay open at a gateway after their client has disconnected.
TEST_F(forwarding_executor_test, rollback_is_sent_to_the_gateway) {
    ASSERT_EQ(begin("READ a").answer.code, answer_code::ok);
    m_transaction->roll_back();
    EXPECT_EQ(m_gateways.rolled_back, std::vector<std::uint64_t>{7});
}

} // namespace
} // namespace oriole::entry
