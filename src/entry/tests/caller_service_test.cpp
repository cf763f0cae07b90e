#include "fake_caller.h"
#include "routing/tests/fake_servers.h"

#include "entry/internal/caller_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::entry {
namespace {

using routing::fake_listed;
using routing::fake_servers;
using routing::run_coroutine;

using namespace std::chrono_literals;
using sessions::answer_code;

/// A log that fails to write the lines of one event.
class failing_log final : public decision_log {
public:
    void write(const log_entry& entry) override {
        if (!event.empty() && entry.text().find("event=" + event) != std::string::npos) {
            throw std::runtime_error("planted");
        }
    }

    void flush() override {}

    [[nodiscard]] std::uint64_t dropped() const override { return 0; }

    std::string event; ///< empty for none
};

class caller_service_test : public testing::Test {
protected:
    caller_service_test() {
        auto config = std::make_shared<fleet::configuration>();
        config->routes["newest"].service = service_name("db");
        config->routes["newest"].open_to_all = true;
        config->routes["newest"].policy = fleet::read_policy::newest;
        config->routes["newest"].latency_target = 10s;
        config->routes["newest"].statement_timeout = 10s;
        m_view.config = config;
        m_view.accounts_by_key = std::make_shared<fleet::key_index>();
        fleet::usable_server primary;
        primary.listed = fake_listed("primary", "zone");
        primary.primary = true;
        primary.connections = {2, 2};
        m_view.servers[service_name("db")] = {primary};
        m_servers.at("primary").primary = true;
        m_context.apply(std::make_shared<const fleet::fleet_view>(m_view));
    }

    static sessions::statement make(sessions::statement_kind kind) {
        sessions::statement statement;
        statement.id = "1";
        statement.kind = kind;
        statement.text = kind == sessions::statement_kind::write    ? "WRITE a b"
                         : kind == sessions::statement_kind::commit ? "COMMIT"
                                                                    : "READ a";
        return statement;
    }

    void send(std::initializer_list<sessions::statement_kind> kinds) {
        for (const auto kind : kinds) {
            m_caller->statements.push_back(make(kind));
        }
    }

    void serve() { static_cast<void>(run_coroutine(m_io, serve_session(m_session))); }

    void allow_one_connection() {
        m_view.servers[service_name("db")].front().connections = {1, 1};
        m_context.apply(std::make_shared<const fleet::fleet_view>(m_view));
    }

    /// Serves the session until the server has received `text`, and then ends the session while the
    /// server has not answered yet.
    void serve_and_end_while_server_runs(const std::string& text) {
        auto& server = m_servers.at("primary");
        server.answer_delay = 20ms;
        boost::asio::co_spawn(
            m_io, serve_session(m_session),
            [this](const std::exception_ptr&, bool) { m_open_at_end = !m_caller->closed; });
        while (!server_received_text(text)) {
            ASSERT_EQ(m_io.run_one_for(10s), 1U);
        }
        m_session->end_now();
        m_io.run();
    }

    void give_account(const account_name& account) {
        m_view.accounts_by_key =
            std::make_shared<const fleet::key_index>(fleet::key_index{{"key", account}});
        m_context.apply(std::make_shared<const fleet::fleet_view>(m_view));
    }

    /// Gives the client an account whose operations a coordinator at `address` admits.
    void coordinate_rates_at(const endpoint& address) {
        const account_name account("acme");
        m_view.shares[account] = {1000.0, 1000.0};
        give_account(account);
        fleet::registered_instance coordinator;
        coordinator.id = instance_id("coordinator");
        coordinator.gateway_address = address;
        fleet::role_assignment roles;
        roles.rates.resize(fleet::rate_groups);
        for (auto& group : roles.rates) {
            group.order = {coordinator};
        }
        m_view.roles = std::make_shared<const fleet::role_assignment>(roles);
        m_context.apply(std::make_shared<const fleet::fleet_view>(m_view));
    }

    [[nodiscard]] bool server_received(sessions::command_kind kind) {
        const auto& commands = m_servers.at("primary").received;
        return std::any_of(commands.begin(), commands.end(),
                           [kind](const auto& command) { return command.kind == kind; });
    }

    [[nodiscard]] bool server_received_text(const std::string& text) {
        const auto& commands = m_servers.at("primary").received;
        return std::any_of(commands.begin(), commands.end(),
                           [&text](const auto& command) { return command.text == text; });
    }

    static entry_settings make_settings() {
        entry_settings settings;
        settings.fenced_promotions = true;
        return settings;
    }

    static boost::asio::awaitable<bool> serve_session(std::shared_ptr<caller_service> session) {
        co_await session->serve();
        co_return true;
    }

    fleet::fleet_view m_view;
    boost::asio::io_context m_io;
    fake_servers m_servers;
    failing_log m_log;
    metric_registry m_metrics;
    traffic_context m_context{m_io.get_executor(), m_servers, make_settings(), m_log, m_metrics};
    bool m_open_at_end = false; ///< the client was still connected when serve() ended
    std::shared_ptr<fake_caller> m_caller = std::make_shared<fake_caller>();
    std::shared_ptr<caller_service> m_session =
        std::make_shared<caller_service>(m_context, m_caller);
};

// Guards against an unexpected error of one session that ends the process.
TEST_F(caller_service_test, unexpected_error_ends_the_session_only) {
    m_caller->fails = true;
    EXPECT_NO_THROW(serve());
    EXPECT_TRUE(m_caller->closed);
}

// Guards against a write that gets no answer, or runs a second time, because of an unexpected error
// on the connection to its server, and against connections that stay counted as open.
TEST_F(caller_service_test, unexpected_error_of_a_connection_leaves_its_write_in_doubt) {
    auto& server = m_servers.at("primary");
    server.fails_on = sessions::command_kind::caller_statement;
    send({sessions::statement_kind::write, sessions::statement_kind::write,
          sessions::statement_kind::write});
    serve();
    EXPECT_EQ(m_caller->codes, std::vector(3, answer_code::in_doubt));
    EXPECT_EQ(server.statements, 3);
    EXPECT_EQ(server.connections, 0);
}

// Guards against a statement that gets no answer because of an unexpected error before it was sent.
TEST_F(caller_service_test, unexpected_error_of_a_statement_is_answered_and_ends_the_session) {
    give_account(account_name("acme")); // It has no share of a rate, which is logged.
    m_log.event = "rate_refused";
    send({sessions::statement_kind::write, sessions::statement_kind::write});
    serve();
    EXPECT_EQ(m_caller->codes, std::vector{answer_code::busy});
    EXPECT_TRUE(m_caller->ended);
    EXPECT_TRUE(m_servers.at("primary").received.empty());
}

// Guards against a client that sends its next statement to a session that ends, because the end of
// the stream comes after the answer.
TEST_F(caller_service_test, ending_session_ends_its_stream_with_the_answer) {
    send({sessions::statement_kind::rollback, sessions::statement_kind::rollback});
    m_session->end_soon();
    serve();
    EXPECT_TRUE(m_caller->ended);
    EXPECT_EQ(m_caller->answers, 1);
    EXPECT_TRUE(m_caller->closed);
}

// Guards against a statement that had arrived when the session ended, and gets no answer.
TEST_F(caller_service_test, ending_session_answers_the_statements_that_have_arrived) {
    send({sessions::statement_kind::rollback, sessions::statement_kind::rollback});
    m_caller->pipelined = true;
    m_session->end_soon();
    serve();
    EXPECT_EQ(m_caller->answers, 2);
    EXPECT_TRUE(m_caller->ended);
}

// Guards against a session that ends between the statements of a transaction.
TEST_F(caller_service_test, ending_session_waits_for_the_end_of_its_transaction) {
    send({sessions::statement_kind::begin, sessions::statement_kind::rollback});
    m_session->end_soon();
    serve();
    EXPECT_EQ(m_caller->answers, 2);
    EXPECT_TRUE(m_caller->ended);
}

// Guards against a transaction that begins when a stop rolls all of them back: it would keep its
// session from ending, and its client's next statement would be cut off by the end of the process.
TEST_F(caller_service_test, session_whose_transactions_end_refuses_to_begin_one) {
    send({sessions::statement_kind::begin, sessions::statement_kind::read,
          sessions::statement_kind::rollback});
    m_session->end_soon();
    m_session->end_transactions();
    serve();
    EXPECT_EQ(m_caller->codes, std::vector{answer_code::busy});
    EXPECT_TRUE(m_caller->ended);
}

// Guards against a close that meets the next statement of a client that has just been answered.
TEST_F(caller_service_test, session_is_not_quiet_just_after_an_answer) {
    const auto now = steady_clock().now();
    EXPECT_FALSE(m_session->close_if_quiet(now));
    EXPECT_FALSE(m_caller->closed);
    EXPECT_TRUE(m_session->close_if_quiet(now + 1s));
    EXPECT_TRUE(m_caller->closed);
}

// Guards against a close that leaves a statement which has arrived without an answer.
TEST_F(caller_service_test, session_with_input_is_not_quiet) {
    send({sessions::statement_kind::rollback});
    m_caller->pipelined = true;
    EXPECT_FALSE(m_session->close_if_quiet(steady_clock().now() + 1s));
}

// Guards against a write that still runs when the grace period of a stop ends, and gets no answer
// or the promise that it is not kept.
TEST_F(caller_service_test, session_that_ends_now_answers_its_running_write_in_doubt) {
    send({sessions::statement_kind::write});
    serve_and_end_while_server_runs("WRITE a b");
    EXPECT_EQ(m_caller->codes, std::vector{answer_code::in_doubt});
    EXPECT_TRUE(m_caller->ended);
    EXPECT_TRUE(m_caller->closed);
}

// Guards against a process that ends while a session still waits for its client to read the last
// answer, because the session is no longer counted as open.
TEST_F(caller_service_test, session_that_ends_now_is_served_until_its_connection_is_closed) {
    m_caller->time_to_close = 100ms; // The server answers before.
    send({sessions::statement_kind::write});
    serve_and_end_while_server_runs("WRITE a b");
    EXPECT_FALSE(m_open_at_end);
    EXPECT_TRUE(m_caller->closed);
}

// Guards against a transaction that is kept although its client was told that it was aborted.
TEST_F(caller_service_test, session_that_ends_now_rolls_its_running_transaction_back) {
    send({sessions::statement_kind::begin, sessions::statement_kind::write});
    serve_and_end_while_server_runs("WRITE a b");
    EXPECT_EQ(m_caller->codes, (std::vector{answer_code::ok, answer_code::aborted}));
    EXPECT_TRUE(server_received(sessions::command_kind::rollback));
    EXPECT_TRUE(m_caller->closed);
}

// Guards against a write that is sent after its client was told that it was refused.
TEST_F(caller_service_test, session_that_ends_now_sends_nothing_that_waits_for_its_rate) {
    boost::asio::ip::tcp::acceptor silent(m_io, {boost::asio::ip::address_v4::loopback(), 0});
    coordinate_rates_at({"127.0.0.1", silent.local_endpoint().port()});
    send({sessions::statement_kind::write});
    boost::asio::co_spawn(m_io, serve_session(m_session), boost::asio::detached);
    m_io.poll();
    ASSERT_EQ(m_caller->taken, 1);
    ASSERT_EQ(m_caller->answers, 0);
    m_session->end_now();
    m_io.run();
    EXPECT_EQ(m_caller->codes, std::vector{answer_code::busy});
    EXPECT_TRUE(m_servers.at("primary").received.empty());
}

// Guards against a write that waits for a connection to its server when the grace period of a stop
// ends, and is told that it may have run, or is sent afterwards.
TEST_F(caller_service_test, session_that_ends_now_sends_nothing_that_waits_for_a_connection) {
    allow_one_connection();
    const auto caller = std::make_shared<fake_caller>();
    caller->statements.push_back(make(sessions::statement_kind::read));
    const auto running = std::make_shared<caller_service>(m_context, caller);
    m_servers.at("primary").answer_delay = 20ms;
    boost::asio::co_spawn(m_io, serve_session(running), boost::asio::detached);
    send({sessions::statement_kind::write});
    boost::asio::co_spawn(m_io, serve_session(m_session), boost::asio::detached);
    while (!server_received_text("READ a")) {
        ASSERT_EQ(m_io.run_one_for(10s), 1U);
    }
    m_io.poll();
    ASSERT_EQ(m_caller->taken, 1);
    m_session->end_now();
    m_io.run();
    EXPECT_EQ(caller->codes, std::vector{answer_code::ok});
    EXPECT_EQ(m_caller->codes, std::vector{answer_code::busy});
    EXPECT_FALSE(server_received_text("WRITE a b"));
}

// Guards against a write that a server has refused and that waits for its next attempt when the
// grace period of a stop ends, and is told that it may have run, or is sent again.
TEST_F(caller_service_test, session_that_ends_now_sends_no_refused_write_again) {
    auto& server = m_servers.at("primary");
    server.busy_statements = 1;
    send({sessions::statement_kind::write});
    boost::asio::co_spawn(m_io, serve_session(m_session), boost::asio::detached);
    while (server.busy_statements > 0) {
        ASSERT_EQ(m_io.run_one_for(10s), 1U);
    }
    m_io.poll();
    ASSERT_EQ(m_caller->answers, 0);
    m_session->end_now();
    m_io.run();
    EXPECT_EQ(m_caller->codes, std::vector{answer_code::busy});
    // The other commands confirm the connection after the refusal.
    EXPECT_EQ(std::count_if(server.received.begin(), server.received.end(),
                            [](const auto& command) {
                                return command.kind == sessions::command_kind::caller_statement;
                            }),
              1);
}

// Guards against statements that have arrived behind a running one, and get no answer or are sent
// to a server.
TEST_F(caller_service_test, session_that_ends_now_refuses_the_statements_that_have_arrived) {
    send({sessions::statement_kind::read, sessions::statement_kind::write});
    m_caller->pipelined = true;
    serve_and_end_while_server_runs("READ a");
    EXPECT_EQ(m_caller->codes, (std::vector{answer_code::aborted, answer_code::busy}));
    EXPECT_FALSE(server_received_text("WRITE a b"));
    EXPECT_TRUE(m_caller->ended);
}

// Guards against the statements of a transaction that arrive after its end, and get no answer.
TEST_F(caller_service_test, session_that_ends_now_answers_the_rest_of_its_transaction) {
    send({sessions::statement_kind::begin, sessions::statement_kind::write,
          sessions::statement_kind::commit});
    m_caller->pipelined = true;
    serve_and_end_while_server_runs("WRITE a b");
    EXPECT_EQ(m_caller->codes,
              (std::vector{answer_code::ok, answer_code::aborted, answer_code::aborted}));
    EXPECT_TRUE(server_received(sessions::command_kind::rollback));
}

// Guards against a large statement that runs without memory for its copies, and against one that is
// answered as not run although it was sent.
TEST_F(caller_service_test, large_statement_without_memory_is_refused_and_not_sent) {
    auto large = make(sessions::statement_kind::write);
    large.text = "WRITE a " + std::string(std::size_t{1} << 20U, 'x');
    const auto others = m_context.resources()->try_run(
        machines::running_kind::statement, "", m_context.resources()->bounds().held_bytes());
    m_caller->statements = {large, make(sessions::statement_kind::write)};
    serve();
    EXPECT_EQ(m_caller->codes, (std::vector{answer_code::busy, answer_code::ok}));
    EXPECT_EQ(m_servers.at("primary").statements, 1);
}

// Guards against a transaction that goes on after one of its statements was refused.
TEST_F(caller_service_test, large_statement_without_memory_aborts_its_transaction) {
    auto large = make(sessions::statement_kind::write);
    large.text = "WRITE a " + std::string(std::size_t{1} << 20U, 'x');
    const auto others = m_context.resources()->try_run(
        machines::running_kind::statement, "", m_context.resources()->bounds().held_bytes());
    m_caller->statements = {make(sessions::statement_kind::begin), large,
                            make(sessions::statement_kind::rollback)};
    serve();
    EXPECT_EQ(m_caller->codes,
              (std::vector{answer_code::ok, answer_code::aborted, answer_code::ok}));
    EXPECT_EQ(m_servers.at("primary").statements, 0);
}

// Guards against a large statement that is refused in calm, and against memory that stays reserved.
TEST_F(caller_service_test, large_statement_is_served_in_calm) {
    auto large = make(sessions::statement_kind::write);
    large.text = "WRITE a " + std::string(std::size_t{1} << 20U, 'x');
    m_caller->statements = {large, large};
    m_caller->statements.back().text += "y"; // Another signature of the fake server.
    serve();
    EXPECT_EQ(m_caller->codes, std::vector(2, answer_code::ok));
    EXPECT_EQ(m_context.resources()->running_bytes(), 0U);
}

// Guards against a session that keeps values without a limit.
TEST_F(caller_service_test, session_with_too_many_values_is_closed) {
    m_session->open_account();
    for (int number = 0; number < 20; ++number) {
        auto value = make(sessions::statement_kind::set_value);
        value.name = "name" + std::to_string(number);
        value.argument = std::string(std::size_t{1} << 20U, 'x');
        m_caller->statements.push_back(value);
    }
    serve();
    EXPECT_TRUE(m_caller->closed);
    EXPECT_LT(m_caller->answers, 20);
}

} // namespace
} // namespace oriole::entry
