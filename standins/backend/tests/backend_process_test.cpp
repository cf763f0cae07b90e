#include "backend_process.h"
#include "links/backend_link.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
using links::execute_answer;
using links::execute_mode;
using links::refusal_answer;
using links::refusal_reason;
using machines::statement_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Three backend servers connected over loopback; all of them run on the thread of the test.
class backend_process_test : public testing::Test {
protected:
    using link = std::shared_ptr<links::backend_link>;

    backend_process_test() {
        // The primary starts first, because the replicas need its control port.
        auto primary = settings("a");
        primary.primary_of_term = 1;
        primary.members = {{server_name("a"), {}}, {server_name("b"), {}}, {server_name("c"), {}}};
        start("a", primary);
        for (const std::string name : {"b", "c"}) {
            auto replica = settings(name);
            replica.follow = links::follow_request{1, member("a")};
            start(name, replica);
        }
    }

    static backend_settings settings(const std::string& name) {
        backend_settings new_settings;
        new_settings.statement_endpoint = endpoint("127.0.0.1", 0);
        new_settings.control_endpoint = endpoint("127.0.0.1", 0);
        new_settings.database.self = server_name(name);
        new_settings.connection_limit = 2;
        return new_settings;
    }

    void start(const std::string& name, const backend_settings& new_settings) {
        auto& process = m_servers[name];
        process = std::make_unique<backend_process>(m_context, new_settings);
        process->start();
    }

    links::member_address member(const std::string& name) {
        return {server_name(name), endpoint("127.0.0.1", m_servers.at(name)->control_port())};
    }

    /// Runs the io_context until `work` has completed. Rethrows its exception.
    template <class Value>
    Value wait(asio::awaitable<Value> work) {
        std::optional<Value> result;
        std::exception_ptr failure;
        asio::co_spawn(m_context, std::move(work),
                       [&](const std::exception_ptr& thrown, Value value) {
                           failure = thrown;
                           result = std::move(value);
                       });
        while (!result) {
            m_context.run_one_for(seconds(60));
        }
        if (failure) {
            std::rethrow_exception(failure);
        }
        return std::move(*result);
    }

    link connect(std::uint16_t port) {
        return wait(
            m_connector->connect(endpoint("127.0.0.1", port), steady_clock().now() + seconds(60)));
    }

    link connect_to_statement_port(const std::string& name) {
        return connect(m_servers.at(name)->statement_port());
    }

    template <class Answer>
    Answer call(const link& connection, links::backend_call request) {
        const auto deadline = steady_clock().now() + seconds(60);
        return std::get<Answer>(wait(connection->call(std::move(request), deadline)));
    }

    template <class Answer>
    Answer control(const std::string& name, links::backend_call request) {
        return call<Answer>(connect(m_servers.at(name)->control_port()), std::move(request));
    }

    static links::backend_call put(std::uint64_t term, const std::string& value) {
        links::execute_request request;
        request.mode = execute_mode::write;
        request.term = term;
        request.statements = {{statement_kind::put, "row", value, 0}};
        request.request_id = value;
        return request;
    }

    static links::backend_call get() {
        links::execute_request request;
        request.statements = {{statement_kind::get, "row", "", 0}};
        return request;
    }

    bool wait_for_confirmation(const std::string& name, links::log_position position) {
        return control<links::confirm_answer>(name, links::confirm_request{position, seconds(60)})
            .holds;
    }

    asio::io_context m_context;
    std::map<std::string, std::unique_ptr<backend_process>> m_servers;
    std::unique_ptr<links::backend_connector> m_connector = links::make_tcp_backend_connector();
};

// Guards against a confirmation sent before the entry is received, and against a change of primary
// that loses a confirmed write or keeps unconfirmed entries of the old primary.
TEST_F(backend_process_test, confirmed_write_survives_change_of_primary) {
    const auto old_primary = connect_to_statement_port("a");
    const auto kept = call<execute_answer>(old_primary, put(1, "kept"));
    EXPECT_TRUE(wait_for_confirmation("b", kept.position));
    for (const std::string name : {"b", "c"}) {
        (void)control<links::fence_answer>(name, links::fence_request{2, "p"});
    }
    (void)call<execute_answer>(old_primary, put(1, "lost"));
    (void)control<links::accepted_answer>(
        "b", links::promote_request{2, "p", {member("a"), member("b"), member("c")}});
    for (const std::string name : {"a", "c"}) {
        (void)control<links::accepted_answer>(name, links::follow_request{2, member("b")});
    }
    const auto next = call<execute_answer>(connect_to_statement_port("b"), put(2, "next"));
    EXPECT_TRUE(wait_for_confirmation("a", next.position));
    EXPECT_TRUE(wait_for_confirmation("c", next.position));
    EXPECT_EQ(call<refusal_answer>(old_primary, put(1, "x")).reason, refusal_reason::stale_term);
    EXPECT_EQ(call<execute_answer>(old_primary, get()).results.at(0).value, "next");
}

// Guards against a connection limit that is not enforced, and against closed connections that still
// count towards it.
TEST_F(backend_process_test, excess_statement_connection_is_refused) {
    auto first = connect_to_statement_port("a");
    auto second = connect_to_statement_port("a");
    (void)call<execute_answer>(first, get());
    (void)call<execute_answer>(second, get());
    const auto third = connect_to_statement_port("a");
    EXPECT_EQ(call<refusal_answer>(third, get()).reason, refusal_reason::no_connection);
    second->close();
    while (control<links::probe_answer>("a", links::probe_request{}).connections > 1) {
    }
    (void)call<execute_answer>(connect_to_statement_port("a"), get());
}

// Guards against a transaction that stays open or is committed after its connection closed.
TEST_F(backend_process_test, closed_connection_rolls_back_its_transaction) {
    const auto owner = connect_to_statement_port("a");
    (void)call<links::accepted_answer>(owner, links::begin_request{1});
    (void)call<execute_answer>(owner, put(1, "never"));
    owner->close();
    EXPECT_EQ(call<execute_answer>(connect_to_statement_port("a"), get()).results.at(0).value,
              std::nullopt);
}

} // namespace
} // namespace oriole::standins
