#include "fake_servers.h"

#include "entry/internal/forwarding_executor.h"

#include <gtest/gtest.h>

#include <set>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;
using sessions::answer_code;

/// Gateways by their name; each answers, refuses or stays silent.
class fake_gateways final : public gateway_calls {
public:
    [[nodiscard]] bool usable(const instance_id& instance, clock::time_point) const override {
        return !lost.contains(instance);
    }

    [[nodiscard]] boost::asio::awaitable<forwarded_outcome>
    run(fleet::listed_instance gateway, forwarded_statement forwarded, clock::time_point) override {
        if (refusing.contains(gateway.id)) {
            throw gateway_refused("leaving");
        }
        called.push_back(gateway.id);
        if (silent.contains(gateway.id)) {
            throw gateway_silent("no answer");
        }
        forwarded_outcome outcome;
        outcome.server = server_name("s");
        outcome.transaction = forwarded.place == statement_place::first ? 7 : 0;
        co_return outcome;
    }

    void roll_back(const fleet::listed_instance&, std::uint64_t transaction) override {
        rolled_back.push_back(transaction);
    }

    [[nodiscard]] boost::asio::awaitable<int> admit(fleet::listed_instance, account_name,
                                                    int operations) override {
        co_return operations;
    }

    std::set<instance_id> lost;
    std::set<instance_id> refusing;
    std::set<instance_id> silent;
    std::vector<instance_id> called;
    std::vector<std::uint64_t> rolled_back;
};

/// Counts what runs over the instance's own connections.
class fake_local final : public statement_executor {
public:
    [[nodiscard]] boost::asio::awaitable<run_outcome> run_alone(statement_run) override {
        ++runs;
        co_return run_outcome{};
    }

    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_first(statement_run, bool, std::unique_ptr<statement_transaction>&) override {
        ++runs;
        co_return run_outcome{};
    }

    int runs = 0;
};

class forwarding_executor_test : public testing::Test {
protected:
    forwarding_executor_test() {
        m_route.statement_timeout = 800ms;
        m_route.latency_target = 400ms;
        std::vector<fleet::listed_instance> gateways(2);
        gateways[0].id = m_first;
        gateways[1].id = m_second;
        m_executor.set_gateways(gateways);
    }

    statement_run make(const std::string& text) {
        statement_run run;
        run.route = &m_route;
        run.statement.text = text;
        run.decision.writes = text.starts_with("WRITE");
        run.statement.kind = text == "COMMIT"      ? sessions::statement_kind::commit
                             : run.decision.writes ? sessions::statement_kind::write
                                                   : sessions::statement_kind::read;
        run.arrived = steady_clock().now();
        return run;
    }

    run_outcome alone(const std::string& text) {
        return run_coroutine(m_io, m_executor.run_alone(make(text)));
    }

    run_outcome begin(const std::string& text) {
        return run_coroutine(m_io, m_executor.run_first(make(text), false, m_transaction));
    }

    run_outcome next(const std::string& text) {
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

// Guards against every instance opening connections of its own.
TEST_F(forwarding_executor_test, statement_runs_at_the_first_gateway) {
    EXPECT_EQ(alone("READ a").gateway, m_first);
    EXPECT_EQ(m_local.runs, 0);
}

// Guards against statements that fail with a gateway that has ended or is leaving.
TEST_F(forwarding_executor_test, refused_statement_runs_at_the_next_gateway) {
    m_gateways.refusing = {m_first};
    EXPECT_EQ(alone("WRITE a b").gateway, m_second);
    EXPECT_EQ(begin("WRITE a b").gateway, m_second);
}

// Guards against an instance that is cut off from the others and serves nobody.
TEST_F(forwarding_executor_test, instance_that_reaches_no_gateway_runs_statements_itself) {
    m_gateways.lost = {m_first, m_second};
    EXPECT_EQ(alone("READ a").answer.code, answer_code::ok);
    EXPECT_EQ(m_local.runs, 1);
}

// Guards against a write that takes effect twice: the gateway may have run it.
TEST_F(forwarding_executor_test, write_of_a_silent_gateway_is_in_doubt_and_not_repeated) {
    m_gateways.silent = {m_first};
    EXPECT_EQ(alone("WRITE a b").answer.code, answer_code::in_doubt);
    EXPECT_EQ(m_gateways.called, std::vector<instance_id>{m_first});
    EXPECT_EQ(m_local.runs, 0);
}

// Guards against a read that fails with its gateway.
TEST_F(forwarding_executor_test, read_of_a_silent_gateway_runs_at_the_next) {
    m_gateways.silent = {m_first};
    EXPECT_EQ(alone("READ a").gateway, m_second);
}

// Guards against "in doubt" for a transaction that nobody can commit any more.
TEST_F(forwarding_executor_test, transaction_whose_beginning_has_no_answer_is_aborted) {
    m_gateways.silent = {m_first};
    EXPECT_EQ(begin("WRITE a b").answer.code, answer_code::aborted);
    EXPECT_EQ(m_transaction, nullptr);
}

// Guards against a promise that nothing is kept for a commit that may have been.
TEST_F(forwarding_executor_test, commit_without_an_answer_is_in_doubt) {
    ASSERT_EQ(begin("WRITE a b").answer.code, answer_code::ok);
    m_gateways.silent = {m_first};
    const auto outcome = next("COMMIT");
    EXPECT_EQ(outcome.answer.code, answer_code::in_doubt);
    EXPECT_TRUE(outcome.transaction_over);
}

// Guards against "in doubt" for a transaction that has changed nothing.
TEST_F(forwarding_executor_test, empty_commit_of_a_transaction_that_only_read_is_aborted) {
    ASSERT_EQ(begin("READ a").answer.code, answer_code::ok);
    m_gateways.silent = {m_first};
    EXPECT_EQ(next("COMMIT").answer.code, answer_code::aborted);
}

// Guards against transactions that stay open at a gateway after their caller has left.
TEST_F(forwarding_executor_test, roll_back_reaches_the_gateway) {
    ASSERT_EQ(begin("READ a").answer.code, answer_code::ok);
    m_transaction->roll_back();
    EXPECT_EQ(m_gateways.rolled_back, std::vector<std::uint64_t>{7});
}

} // namespace
} // namespace oriole::entry
