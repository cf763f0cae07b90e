#include "routing/tests/fake_servers.h"

#include "routing/statement_runner.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::routing {
namespace {

using namespace std::chrono_literals;
using sessions::answer_code;
using sessions::command_kind;

class statement_runner_test : public testing::Test {
protected:
    statement_runner_test() {
        m_route.service = service_name("db");
        m_route.policy = fleet::read_policy::bounded_age;
        m_route.max_age = 1500ms;
        m_route.latency_target = 400ms;
        m_route.statement_timeout = 300ms;
        m_servers.at("primary").primary = true;
        std::vector<fleet::usable_server> usable(2);
        usable[0].listed = fake_listed("primary", "far");
        usable[0].primary = true;
        usable[0].connections = {2, 2};
        usable[1].listed = fake_listed("replica", "near");
        usable[1].connections = {2, 2};
        m_service.apply(usable);
    }

    statement_run make(const std::string& text, bool writes = false) {
        statement_run run;
        run.route = &m_route;
        run.account = account_name("t");
        run.statement.id = std::string("1");
        run.statement.text = text;
        run.statement.kind = text == "COMMIT" ? sessions::statement_kind::commit
                             : writes         ? sessions::statement_kind::write
                                              : sessions::statement_kind::read;
        run.decision.step = sessions::session_step::run;
        run.decision.writes = writes;
        run.arrived = steady_clock().now();
        return run;
    }

    run_outcome run_autocommit(const std::string& text, bool writes = false) {
        return run_coroutine(m_io, m_runner.run_autocommit(m_service, make(text, writes)));
    }

    run_outcome run_first(const std::string& text, bool reads_only, bool writes = false) {
        return run_coroutine(
            m_io, m_runner.run_first(m_service, make(text, writes), reads_only, m_transaction));
    }

    void prove(machines::log_position position) {
        m_service.add_peer_proof({boot_clock().now(), position});
    }

    /// Operations of the account that were counted since the last call.
    std::uint64_t counted() {
        std::uint64_t count = 0;
        for (const auto& runs : m_usage->take()) {
            EXPECT_EQ(runs.account, account_name("t"));
            EXPECT_LT(std::chrono::abs(boot_clock().now() - runs.began), 10s);
            count += runs.count;
        }
        return count;
    }

    bool received(const std::string& server, command_kind kind) {
        const auto& commands = m_servers.at(server).received;
        return std::any_of(commands.begin(), commands.end(),
                           [kind](const auto& command) { return command.kind == kind; });
    }

    boost::asio::io_context m_io;
    fake_servers m_servers;
    fleet::route m_route;
    std::unique_ptr<usage::run_counter> m_usage = usage::make_run_counter();
    service_traffic m_service{m_io.get_executor(), m_servers, zone_name("near"),
                              fleet::primary_leasing::not_needed, m_usage.get()};
    statement_runner m_runner;
    std::unique_ptr<open_transaction> m_transaction;
};

// Guards against reading from a replica that may lack data that the route's consistency requires.
TEST_F(statement_runner_test, read_without_a_proof_runs_at_the_confirmed_primary) {
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::ok);
    EXPECT_EQ(outcome.server, server_name("primary"));
    EXPECT_TRUE(received("primary", command_kind::begin));
    EXPECT_TRUE(received("primary", command_kind::rollback));
    EXPECT_FALSE(received("replica", command_kind::caller_statement));
}

// Guards against sending all reads to the primary.
TEST_F(statement_runner_test,
       read_with_a_proof_runs_in_the_zone_of_the_instance_at_the_required_position) {
    prove({1, 10});
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.server, server_name("replica"));
    EXPECT_EQ(outcome.required, machines::log_position(1, 10));
    EXPECT_EQ(m_servers.at("replica").received.back().after, machines::log_position(1, 10));
}

// Guards against answering that a replica lags although another server has the data.
TEST_F(statement_runner_test, read_is_retried_elsewhere_after_a_lagging_replica) {
    prove({1, 10});
    m_servers.at("replica").position = {1, 3};
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::ok);
    EXPECT_EQ(outcome.server, server_name("primary"));
}

// Guards against reading from a former primary that does not know that it was replaced.
TEST_F(statement_runner_test, newest_read_is_not_answered_by_a_former_primary) {
    m_route.policy = fleet::read_policy::newest;
    m_servers.at("primary").primary = false;
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::read_only);
}

// Guards against reporting that a write did not run when only its answer was lost.
TEST_F(statement_runner_test, write_without_an_answer_is_in_doubt) {
    m_servers.at("primary").breaks_on = command_kind::caller_statement;
    EXPECT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::in_doubt);
    EXPECT_EQ(m_servers.at("primary").received.size(), 1U);
}

// Guards against sending a write a second time when the server did not answer it.
TEST_F(statement_runner_test, write_without_an_answer_in_time_is_not_retried) {
    m_servers.at("primary").no_answer_to = command_kind::caller_statement;
    EXPECT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::timed_out);
    EXPECT_EQ(m_servers.at("primary").received.size(), 1U);
}

// Guards against a read that fails with its server although other servers have the data.
TEST_F(statement_runner_test, read_on_a_broken_connection_runs_at_another_server) {
    prove({1, 10});
    m_servers.at("replica").breaks_on = command_kind::caller_statement;
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::ok);
    EXPECT_EQ(outcome.server, server_name("primary"));
}

// Guards against answering aborted for a commit that the server may have carried out.
TEST_F(statement_runner_test, commit_without_an_answer_is_in_doubt) {
    ASSERT_EQ(run_first("WRITE a b", false, true).answer.code, answer_code::ok);
    ASSERT_TRUE(m_transaction);
    m_servers.at("primary").breaks_on = command_kind::caller_statement;
    const auto outcome =
        run_coroutine(m_io, m_runner.run_next(m_service, make("COMMIT"), *m_transaction));
    EXPECT_EQ(outcome.answer.code, answer_code::in_doubt);
    EXPECT_TRUE(outcome.transaction_finished);
}

// Guards against answering in_doubt for a transaction that broke before its commit and was
// certainly rolled back.
TEST_F(statement_runner_test, transaction_that_breaks_before_its_commit_is_aborted) {
    ASSERT_EQ(run_first("WRITE a b", false, true).answer.code, answer_code::ok);
    m_servers.at("primary").breaks_on = command_kind::caller_statement;
    const auto outcome =
        run_coroutine(m_io, m_runner.run_next(m_service, make("WRITE c d", true), *m_transaction));
    EXPECT_EQ(outcome.answer.code, answer_code::aborted);
}

// Guards against usage reports that count the statements of a transaction one by one.
TEST_F(statement_runner_test, transaction_counts_as_one_operation) {
    ASSERT_EQ(run_first("WRITE a b", false, true).answer.code, answer_code::ok);
    static_cast<void>(
        run_coroutine(m_io, m_runner.run_next(m_service, make("WRITE c d", true), *m_transaction)));
    static_cast<void>(
        run_coroutine(m_io, m_runner.run_next(m_service, make("COMMIT"), *m_transaction)));
    EXPECT_EQ(counted(), 1U);
}

// Guards against usage reports that count an attempt which the server refused without running it.
TEST_F(statement_runner_test, refused_attempt_is_not_counted_but_its_retry_is) {
    prove({1, 10});
    m_servers.at("replica").position = {1, 3};
    ASSERT_EQ(run_autocommit("READ a").answer.code, answer_code::ok);
    EXPECT_EQ(counted(), 1U);
}

// Guards against usage reports that leave out operations whose answer was lost.
TEST_F(statement_runner_test, operation_without_an_answer_is_counted) {
    m_servers.at("primary").breaks_on = command_kind::caller_statement;
    ASSERT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::in_doubt);
    EXPECT_EQ(counted(), 1U);
}

// Guards against returning a connection to the pool while its transaction is still open.
TEST_F(statement_runner_test, rolled_back_transaction_returns_its_connection) {
    prove({1, 10});
    ASSERT_EQ(run_first("READ a", true).answer.code, answer_code::ok);
    EXPECT_EQ(m_transaction->pool->server().id, server_name("replica"));
    statement_runner::roll_back(std::move(m_transaction));
    m_io.restart();
    m_io.run();
    EXPECT_TRUE(received("replica", command_kind::rollback));
    EXPECT_EQ(run_autocommit("READ b").server, server_name("replica"));
    EXPECT_EQ(m_servers.at("replica").opened, 1);
}

// Guards against a process that ends, because the success of a write outside a transaction, which
// is the repeated answer to another statement, says that a transaction is open.
TEST_F(statement_runner_test, write_that_is_answered_as_in_a_transaction_is_in_doubt) {
    m_servers.at("primary").claimed_state = sessions::transaction_state::open;
    EXPECT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::in_doubt);
    EXPECT_EQ(m_servers.at("primary").connections, 0);
}

// Guards against a transaction whose first write was answered as one that ran outside it: a promise
// that nothing was kept, or a later commit that commits nothing.
TEST_F(statement_runner_test, first_write_that_is_answered_as_outside_a_transaction_is_in_doubt) {
    m_servers.at("primary").claimed_state = sessions::transaction_state::none;
    EXPECT_EQ(run_first("WRITE a b", false, true).answer.code, answer_code::in_doubt);
    EXPECT_FALSE(m_transaction);
    EXPECT_EQ(m_servers.at("primary").connections, 0);
}

// Guards against a caller that is told of a transaction which it has not begun.
TEST_F(statement_runner_test, read_that_is_answered_as_in_a_transaction_runs_at_another_server) {
    prove({1, 10});
    m_servers.at("replica").claimed_state = sessions::transaction_state::open;
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::ok);
    EXPECT_EQ(outcome.answer.state, sessions::transaction_state::none);
    EXPECT_EQ(outcome.server, server_name("primary"));
}

// Guards against a caller whose read fails at one server although others would serve it.
TEST_F(statement_runner_test, read_that_a_server_failed_runs_once_more_elsewhere) {
    prove({1, 10});
    m_servers.at("replica").fails_statements = true;
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::ok);
    EXPECT_EQ(outcome.server, server_name("primary"));
}

// Guards against repeating a read that fails everywhere until its time is over.
TEST_F(statement_runner_test, read_that_fails_at_two_servers_fails) {
    prove({1, 10});
    m_servers.at("replica").fails_statements = true;
    m_servers.at("primary").fails_statements = true;
    const auto outcome = run_autocommit("READ a");
    EXPECT_EQ(outcome.answer.code, answer_code::failed);
    EXPECT_EQ(outcome.attempts, 2);
}

// Guards against a server that answers and fails its work, and keeps all reads of its zone.
TEST_F(statement_runner_test, reads_leave_a_server_that_fails_them) {
    prove({1, 10});
    m_servers.at("replica").fails_statements = true;
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(run_autocommit("READ a").answer.code, answer_code::ok);
    }
    const auto& received = m_servers.at("replica").received;
    const auto at_replica =
        std::count_if(received.begin(), received.end(), [](const auto& command) {
            return command.kind == command_kind::caller_statement;
        });
    EXPECT_LE(at_replica, 4);
}

// Guards against statements that time out one after the other, each on a silent connection to
// another server.
TEST_F(statement_runner_test, silent_server_ends_idle_connections_to_the_others) {
    prove({1, 10});
    ASSERT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::ok);
    m_servers.at("replica").no_answer_to = command_kind::caller_statement;
    ASSERT_NE(run_autocommit("READ a").answer.code, answer_code::ok);
    ASSERT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::ok);
    EXPECT_EQ(m_servers.at("primary").opened, 2);
}

// Guards against a single attempt where statements are not scheduled.
TEST_F(statement_runner_test, refused_statement_is_repeated_while_there_is_time) {
    m_servers.at("primary").busy_statements = 2;
    const auto outcome = run_autocommit("WRITE a b", true);
    EXPECT_EQ(outcome.answer.code, answer_code::ok);
    EXPECT_EQ(outcome.attempts, 3);
}

/// The same with routes that differ in priority, at a primary that executes one statement at a
/// time.
class scheduled_statement_runner_test : public statement_runner_test {
protected:
    scheduled_statement_runner_test() {
        std::vector<fleet::usable_server> usable(1);
        usable[0].listed = fake_listed("primary", "near");
        usable[0].listed.slots = 1;
        usable[0].primary = true;
        usable[0].connections = {10, 10};
        m_service.set_prioritized(true);
        m_service.apply(usable);
    }
};

// Load: a server refuses everything. Guards against refused statements that come back as more load.
TEST_F(scheduled_statement_runner_test, refused_statements_come_back_only_within_the_retry_budget) {
    constexpr int statements = 60;
    m_servers.at("primary").busy_statements = 1000;
    for (int i = 0; i < statements; ++i) {
        EXPECT_EQ(run_autocommit("WRITE a b", true).answer.code, answer_code::busy);
    }
    const int sent = 1000 - m_servers.at("primary").busy_statements;
    EXPECT_LE(sent, statements + statements / 10 + 10);
    EXPECT_GT(sent, statements);
}

// Guards against a statement that waits although it is not sent again.
TEST_F(scheduled_statement_runner_test, refused_statement_without_a_retry_is_answered_at_once) {
    m_servers.at("primary").busy_statements = 1000;
    int attempts = 0;
    do {
        attempts = run_autocommit("WRITE a b", true).attempts;
    } while (attempts > 1);
    std::optional<answer_code> code;
    boost::asio::co_spawn(
        m_io, m_runner.run_autocommit(m_service, make("WRITE a b", true)),
        [&](const std::exception_ptr&, const run_outcome& outcome) { code = outcome.answer.code; });
    m_io.restart();
    m_io.poll(); // does not wait for timers
    EXPECT_EQ(code, answer_code::busy);
}

// Load: more statements at once than start in time. Guards against one that is refused although
// it was sent, or that waits for its connection beyond its time.
TEST_F(scheduled_statement_runner_test, statements_that_cannot_start_in_time_are_not_sent) {
    constexpr int statements = 12;
    m_servers.at("primary").answer_delay = 60ms;
    int served = 0;
    int refused = 0;
    for (int i = 0; i < statements; ++i) {
        boost::asio::co_spawn(m_io, m_runner.run_autocommit(m_service, make("WRITE a b", true)),
                              [&](const std::exception_ptr&, const run_outcome& outcome) {
                                  served += outcome.answer.code == answer_code::ok ? 1 : 0;
                                  refused += outcome.routing_basis == "slots" ? 1 : 0;
                              });
    }
    m_io.restart();
    m_io.run();
    EXPECT_EQ(served + refused, statements);
    EXPECT_GT(refused, 0);
    EXPECT_EQ(m_servers.at("primary").statements, served);
}

/// The same with leases on the primary, as on platforms where a replaced primary keeps accepting
/// writes.
class leased_statement_runner_test : public statement_runner_test {
protected:
    leased_statement_runner_test() {
        std::vector<fleet::usable_server> usable(1);
        usable[0].listed = fake_listed("primary", "far");
        usable[0].primary = true;
        usable[0].connections = {2, 2};
        m_leased.apply(usable);
        m_route.policy = fleet::read_policy::newest;
    }

    void grant(const std::string& server, clock::duration time) {
        m_leased.set_lease({server_name(server), 1, boot_clock().now() + time});
    }

    answer_code write() {
        return run_coroutine(m_io, m_runner.run_autocommit(m_leased, make("WRITE a b", true)))
            .answer.code;
    }

    answer_code read() {
        return run_coroutine(m_io, m_runner.run_autocommit(m_leased, make("READ a"))).answer.code;
    }

    service_traffic m_leased{m_io.get_executor(), m_servers, zone_name("near"),
                             fleet::primary_leasing::needed};
};

// Guards against a write that is acknowledged by a primary which may have been replaced.
TEST_F(leased_statement_runner_test, write_without_a_lease_is_refused_and_not_sent) {
    EXPECT_EQ(write(), answer_code::busy);
    grant("other", 1h);
    EXPECT_EQ(write(), answer_code::busy);
    grant("primary", -1ms);
    EXPECT_EQ(write(), answer_code::busy);
    EXPECT_TRUE(m_servers.at("primary").received.empty());
}

// Guards against refusing writes although the lease covers the primary.
TEST_F(leased_statement_runner_test, write_with_a_lease_runs) {
    grant("primary", 1h);
    EXPECT_EQ(write(), answer_code::ok);
}

// Guards against a success, or a promise that nothing was kept, for a write whose answer arrived
// after the lease had ended: the server may no longer have been the primary.
TEST_F(leased_statement_runner_test, write_that_outlasts_the_lease_is_in_doubt) {
    m_servers.at("primary").answer_delay = 30ms;
    grant("primary", 10ms);
    EXPECT_EQ(write(), answer_code::in_doubt);
}

// Guards against a read of a replaced primary's data that is returned as the newest.
TEST_F(leased_statement_runner_test, newest_read_that_outlasts_the_lease_is_not_answered) {
    m_servers.at("primary").answer_delay = 30ms;
    grant("primary", 10ms);
    const auto code = read();
    EXPECT_TRUE(code == answer_code::aborted || code == answer_code::busy);
}

// Guards against a transaction that is committed at a primary which may have been replaced
// meanwhile.
TEST_F(leased_statement_runner_test, transaction_ends_with_the_lease) {
    grant("primary", 1h);
    EXPECT_EQ(run_coroutine(
                  m_io, m_runner.run_first(m_leased, make("WRITE a b", true), false, m_transaction))
                  .answer.code,
              answer_code::ok);
    ASSERT_NE(m_transaction, nullptr);
    grant("other", 1h);
    const auto outcome =
        run_coroutine(m_io, m_runner.run_next(m_leased, make("COMMIT"), *m_transaction));
    EXPECT_EQ(outcome.answer.code, answer_code::aborted);
    EXPECT_TRUE(outcome.transaction_finished);
    EXPECT_NE(m_servers.at("primary").received.back().text, "COMMIT");
}

} // namespace
} // namespace oriole::routing
