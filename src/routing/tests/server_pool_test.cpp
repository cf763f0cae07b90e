#include "routing/tests/fake_servers.h"

#include "routing/server_pool.h"

#include <gtest/gtest.h>

#include <map>

namespace oriole::routing {
namespace {

using namespace std::chrono_literals;

class server_pool_test : public testing::Test {
protected:
    server_pool_test() { m_pool->set_limit(2); }

    pool_grant acquire(const std::string& account, clock::duration wait = 20ms) {
        return run_coroutine(
            m_io, m_pool->acquire(account_name(account), m_values, steady_clock().now() + wait));
    }

    boost::asio::io_context m_io;
    fake_servers m_servers;
    sessions::session_values m_values;
    std::shared_ptr<server_pool> m_pool =
        std::make_shared<server_pool>(m_io.get_executor(), m_servers, fake_listed("s", "z"));
};

// Guards against opening a connection for each statement, which takes one of the server's execution
// slots.
TEST_F(server_pool_test, released_connection_serves_the_same_account_again) {
    m_pool->release(acquire("a").connection);
    EXPECT_TRUE(acquire("a").connection);
    EXPECT_EQ(m_servers.at("s").opened, 1);
}

// Guards against a connection that is used for another account than the one it was opened for.
TEST_F(server_pool_test, connection_is_not_given_to_another_account) {
    m_pool->release(acquire("a").connection);
    const auto grant = acquire("b");
    ASSERT_TRUE(grant.connection);
    EXPECT_EQ(grant.connection->account, account_name("b"));
    EXPECT_EQ(m_servers.at("s").opened, 2);
}

// Guards against more connections than this instance's share of the server's limit.
TEST_F(server_pool_test, idle_connection_of_another_account_is_closed_at_the_limit) {
    auto first = acquire("a");
    m_pool->release(acquire("b").connection);
    EXPECT_TRUE(acquire("c").connection);
    EXPECT_EQ(m_servers.at("s").connections, 2);
    const auto refused = acquire("d");
    EXPECT_FALSE(refused.connection);
    EXPECT_EQ(refused.refusal, sessions::answer_code::busy);
}

// Guards against a request that keeps waiting although a connection has become free.
TEST_F(server_pool_test, waiting_account_gets_the_connection_that_becomes_free) {
    auto first = acquire("a");
    auto second = acquire("a");
    std::optional<pool_grant> waited;
    boost::asio::co_spawn(
        m_io, m_pool->acquire(account_name("a"), m_values, steady_clock().now() + 5s),
        [&](const std::exception_ptr&, pool_grant grant) { waited = std::move(grant); });
    m_io.restart();
    m_io.poll();
    ASSERT_FALSE(waited);
    m_pool->release(std::move(first.connection));
    m_io.restart();
    m_io.poll();
    ASSERT_TRUE(waited);
    EXPECT_TRUE(waited->connection);
}

// Guards against failed attempts to connect that use up the connection limit.
TEST_F(server_pool_test, failed_connection_attempt_does_not_count_against_the_limit) {
    m_servers.at("s").refuses_connections = true;
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(acquire("a").refusal, sessions::answer_code::aborted);
    }
    EXPECT_TRUE(m_pool->suspected(steady_clock().now()));
    m_servers.at("s").refuses_connections = false;
    EXPECT_TRUE(acquire("a").connection);
    EXPECT_FALSE(m_pool->suspected(steady_clock().now()));
}

// Guards against a failed server that is never tried again, for example one that is promoted to
// primary after a network failure.
TEST_F(server_pool_test, failed_server_is_tried_again) {
    m_servers.at("s").refuses_connections = true;
    EXPECT_FALSE(acquire("a").connection);
    const auto now = steady_clock().now();
    EXPECT_TRUE(m_pool->suspected(now));
    EXPECT_FALSE(m_pool->suspected(now + 1s));
}

/// A pool whose server executes one statement at a time, so that two may be on their way.
class scheduled_server_pool_test : public server_pool_test {
protected:
    scheduled_server_pool_test() {
        auto server = fake_listed("s", "z");
        server.slots = 1;
        m_pool->set_server(server);
        m_pool->set_limit(10);
        m_pool->set_scheduled(true);
    }

    /// Starts a request that waits in the background.
    void request(const std::string& name, const std::string& account, int priority) {
        boost::asio::co_spawn(
            m_io,
            m_pool->acquire(account_name(account), m_values, steady_clock().now() + 5s, priority),
            [this, name](const std::exception_ptr&, pool_grant grant) {
                m_grants[name] = std::move(grant);
            });
        run_ready();
    }

    void run_ready() {
        m_io.restart();
        m_io.poll();
    }

    void end_statement(pool_grant& grant) {
        m_pool->end_statement(*grant.connection, scheduling::statement_end::answered);
        m_pool->release(std::move(grant.connection));
        run_ready();
    }

    std::map<std::string, pool_grant> m_grants;
};

// Guards against sending a server more than it executes, where it is queued regardless of priority.
TEST_F(scheduled_server_pool_test,
       statements_beyond_the_slots_wait_although_there_are_connections) {
    for (const char* name : {"first", "second", "third"}) {
        request(name, "a", 1);
    }
    EXPECT_EQ(m_grants.size(), 2U);
    end_statement(m_grants.at("first"));
    EXPECT_TRUE(m_grants.at("third").connection);
}

// Guards against a returned connection that goes to its own account while a more urgent statement
// waits.
TEST_F(scheduled_server_pool_test, most_urgent_statement_is_next_whatever_its_account) {
    request("first", "a", 1);
    request("second", "a", 1);
    request("same_account", "a", 1);
    request("urgent", "b", 0);
    end_statement(m_grants.at("first"));
    EXPECT_TRUE(m_grants.contains("urgent"));
    EXPECT_FALSE(m_grants.contains("same_account"));
}

// Guards against an open transaction that occupies a slot while its client pauses, and against its
// further statements waiting while it holds a connection.
TEST_F(scheduled_server_pool_test,
       pausing_transaction_leaves_its_slot_and_goes_on_without_waiting) {
    request("transaction", "a", 1);
    request("second", "a", 1);
    request("third", "a", 1);
    auto& connection = *m_grants.at("transaction").connection;
    m_pool->end_statement(connection, scheduling::statement_end::answered);
    run_ready();
    ASSERT_TRUE(m_grants.contains("third"));
    m_pool->begin_statement(connection, 1);
    EXPECT_TRUE(connection.slot_priority);
    request("fourth", "a", 1);
    end_statement(m_grants.at("second"));
    EXPECT_FALSE(m_grants.contains("fourth"));
}

// Failure: the instance leaves while statements wait. Guards against waiting statements that are
// sent although the instance that sent them has been told that they were refused.
TEST_F(scheduled_server_pool_test, waiting_statements_are_refused_when_the_instance_leaves) {
    request("first", "a", 1);
    request("second", "a", 1);
    request("third", "b", 0);
    m_pool->refuse_waiting();
    run_ready();
    ASSERT_TRUE(m_grants.contains("third"));
    EXPECT_EQ(m_grants.at("third").refusal, sessions::answer_code::busy);
    EXPECT_EQ(m_servers.at("s").opened, 2);
    end_statement(m_grants.at("first"));
    EXPECT_EQ(m_servers.at("s").statements, 0);
}

// Guards against slots that stay occupied by connections that could not be opened.
TEST_F(scheduled_server_pool_test, failed_connection_attempt_leaves_its_slot) {
    m_servers.at("s").refuses_connections = true;
    for (int i = 0; i < 5; ++i) {
        request("failed", "a", 1);
    }
    m_servers.at("s").refuses_connections = false;
    request("first", "a", 1);
    request("second", "a", 1);
    EXPECT_TRUE(m_grants.at("first").connection);
    EXPECT_TRUE(m_grants.at("second").connection);
}

// Failure: the server falls silent. Guards against statements that wait for it although other
// servers may serve them, and against slots that stay occupied when it is back.
TEST_F(scheduled_server_pool_test, waiting_statements_leave_a_server_that_falls_silent) {
    request("first", "a", 1);
    request("second", "a", 1);
    request("third", "a", 1);
    auto& silent = *m_grants.at("first").connection;
    m_pool->mark_waiting(silent, steady_clock().now());
    m_pool->mark_timed_out(silent, steady_clock().now());
    m_pool->end_statement(silent, scheduling::statement_end::unknown);
    run_ready();
    ASSERT_TRUE(m_grants.contains("third"));
    EXPECT_FALSE(m_grants.at("third").overloaded);
    request("probe", "a", 1);
    EXPECT_TRUE(m_grants.contains("probe"));
}

// Guards against a bound where the number of slots is not known.
TEST_F(scheduled_server_pool_test, statements_do_not_wait_for_slots_that_are_not_known) {
    m_pool->set_server(fake_listed("s", "z"));
    m_pool->set_scheduled(true);
    for (const char* name : {"first", "second", "third", "fourth"}) {
        request(name, "a", 1);
    }
    EXPECT_EQ(m_grants.size(), 4U);
}

} // namespace
} // namespace oriole::routing
