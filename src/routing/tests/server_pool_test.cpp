#include "routing/tests/fake_servers.h"

#include "routing/server_pool.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace oriole::routing
