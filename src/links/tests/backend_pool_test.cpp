#include "links/backend_pool.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers calls by the rule that the test sets. A call for which the rule has no result fails with
/// link_error.
class fake_link final : public backend_link {
public:
    using rule = std::function<std::optional<backend_result>(const backend_call&)>;

    explicit fake_link(rule& answer) : m_answer(answer) {}

    [[nodiscard]] asio::awaitable<backend_result> call(backend_call call,
                                                       clock::time_point /*deadline*/) override {
        calls.push_back(call);
        ++m_in_flight;
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        --m_in_flight;
        const auto result = m_usable ? m_answer(call) : std::nullopt;
        if (!result) {
            throw link_error("no answer", true);
        }
        co_return *result;
    }

    [[nodiscard]] bool usable() const noexcept override { return m_usable; }

    [[nodiscard]] std::size_t in_flight() const noexcept override { return m_in_flight; }

    void close() noexcept override { m_usable = false; }

    std::vector<backend_call> calls;

private:
    rule& m_answer;
    bool m_usable = true;
    std::size_t m_in_flight = 0;
};

class fake_connector final : public backend_connector {
public:
    [[nodiscard]] asio::awaitable<std::shared_ptr<backend_link>>
    connect(endpoint /*server*/, clock::time_point /*deadline*/) override {
        links.push_back(std::make_shared<fake_link>(answer));
        co_return links.back();
    }

    fake_link::rule answer;
    std::vector<std::shared_ptr<fake_link>> links;
};

class backend_pool_test : public testing::Test {
protected:
    backend_pool_test() {
        m_connector.answer = [](const backend_call& call) -> std::optional<backend_result> {
            if (std::holds_alternative<execute_request>(call)) {
                return execute_answer{};
            }
            return accepted_answer{1};
        };
    }

    void open_pool(std::size_t connection_quota) {
        machines::backend_server::builder server;
        server.name(server_name("a"));
        m_pool = make_backend_pool(m_context.get_executor(), m_connector, server.build(),
                                   connection_quota);
        run([this, connection_quota] { return m_pool->status().connections == connection_quota; });
    }

    /// Runs handlers until `done` returns true. The pool's maintenance timer expires periodically,
    /// so run_one_for() does not time out while the pool exists.
    void run(const std::function<bool()>& done) {
        while (!done()) {
            ASSERT_GT(m_context.run_one_for(seconds(10)), 0U);
        }
    }

    call_context context() const {
        return {account_name("x"), 1, 1, steady_clock().now() + seconds(60)};
    }

    /// Runs `work` to its end and returns the message of its exception, or "done".
    std::string outcome_of(asio::awaitable<void> work) {
        std::optional<std::string> text;
        asio::co_spawn(m_context, std::move(work), [&text](const std::exception_ptr& failure) {
            try {
                if (failure) {
                    std::rethrow_exception(failure);
                }
                text = "done";
            } catch (const std::exception& caught) {
                text = caught.what();
            }
        });
        run([&text] { return text.has_value(); });
        return *text;
    }

    asio::awaitable<void> run_request() {
        backend_call call = execute_request{};
        auto made = context();
        (void)co_await m_pool->call(std::move(call), std::move(made));
    }

    asio::awaitable<void> run_transaction(backend_call last) {
        auto made = context();
        auto opened = co_await m_pool->open_transaction(1, std::move(made));
        backend_call inside = execute_request{};
        inside = execute_request{execute_mode::write, 1, {}, {}, {}, "inside"};
        (void)co_await opened->call(std::move(inside), context().deadline);
        (void)co_await opened->call(std::move(last), context().deadline);
    }

    static bool used_by_transaction(const fake_link& link) {
        return std::any_of(link.calls.begin(), link.calls.end(), [](const backend_call& call) {
            return std::holds_alternative<begin_request>(call);
        });
    }

    asio::io_context m_context;
    fake_connector m_connector;
    std::shared_ptr<backend_pool> m_pool;
};

// Guards against closing the connection after each transaction: opening another takes 10 to 30 ms.
TEST_F(backend_pool_test, committed_transaction_returns_its_connection) {
    open_pool(2);
    EXPECT_EQ(outcome_of(run_transaction(commit_request{1, "id"})), "done");
    EXPECT_EQ(outcome_of(run_transaction(rollback_request{})), "done");
    EXPECT_EQ(m_connector.links.size(), 2U);
}

// Guards against reusing a connection whose transaction may still be open, which would mix the
// transactions of two callers (invariant S3).
TEST_F(backend_pool_test, connection_in_doubt_is_never_reused) {
    open_pool(2);
    const auto answer = m_connector.answer;
    m_connector.answer = [&answer](const backend_call& call) -> std::optional<backend_result> {
        const bool commit = std::holds_alternative<commit_request>(call);
        return commit ? std::nullopt : answer(call);
    };
    EXPECT_EQ(outcome_of(run_transaction(commit_request{1, "id"})), "no answer");
    for (const auto& link : m_connector.links) {
        EXPECT_EQ(link->usable(), !used_by_transaction(*link));
    }
}

// Guards against a transaction that stays open on the server after its link was destroyed without a
// commit or rollback.
TEST_F(backend_pool_test, dropped_transaction_closes_its_connection) {
    open_pool(2);
    EXPECT_EQ(outcome_of(run_transaction(execute_request{})), "done");
    run([this] { return m_connector.links.size() == 3; });
    for (const auto& link : m_connector.links) {
        EXPECT_EQ(link->usable(), !used_by_transaction(*link));
    }
}

// Guards against single requests that run within another caller's transaction (invariant S3), also
// when a transaction and single requests wait for the only connection.
TEST_F(backend_pool_test, single_requests_never_run_inside_a_transaction) {
    open_pool(1);
    int finished = 0;
    const auto count = [&finished](const std::exception_ptr& failure) {
        EXPECT_FALSE(failure);
        ++finished;
    };
    constexpr int rounds = 50;
    for (int i = 0; i < rounds; ++i) {
        asio::co_spawn(m_context, run_request(), count);
        asio::co_spawn(m_context, run_transaction(commit_request{1, "id"}), count);
        asio::co_spawn(m_context, run_request(), count);
    }
    run([&finished] { return finished == 3 * rounds; });
    bool open = false;
    for (const backend_call& call : m_connector.links.at(0)->calls) {
        const auto* execute = std::get_if<execute_request>(&call);
        if (execute != nullptr) {
            ASSERT_EQ(execute->request_id == "inside", open);
        }
        open = std::holds_alternative<begin_request>(call) ||
               (open && !std::holds_alternative<commit_request>(call));
    }
}

// Guards against requests sent to a server that is down, and against a circuit that never closes.
TEST_F(backend_pool_test, failing_server_receives_no_requests_until_probe_succeeds) {
    open_pool(1);
    const auto answer = m_connector.answer;
    m_connector.answer = [](const backend_call&) { return std::nullopt; };
    for (const auto& link : m_connector.links) {
        link->close();
    }
    run([this] { return m_pool->status().circuit_open; });
    EXPECT_EQ(outcome_of(run_request()), "the backend server does not answer");
    m_connector.answer = answer;
    run([this] { return !m_pool->status().circuit_open; });
    EXPECT_EQ(outcome_of(run_request()), "done");
}

// Guards against access to the pool's state from the thread of a caller.
TEST_F(backend_pool_test, calls_from_another_thread_are_answered_there) {
    open_pool(2);
    asio::io_context callers;
    int finished = 0;
    const auto count = [&finished](const std::exception_ptr& failure) {
        EXPECT_FALSE(failure);
        ++finished;
    };
    constexpr int rounds = 50;
    for (int i = 0; i < rounds; ++i) {
        asio::co_spawn(callers, run_request(), count);
        asio::co_spawn(callers, run_transaction(commit_request{1, "id"}), count);
    }
    std::thread pool_thread([this] { m_context.run(); });
    callers.run();
    m_context.stop();
    pool_thread.join();
    EXPECT_EQ(finished, 2 * rounds);
}

// Guards against new requests to a server that operators are taking out of service.
TEST_F(backend_pool_test, draining_pool_refuses_requests) {
    open_pool(1);
    m_pool->set_draining(true);
    m_context.run_one_for(seconds(1));
    EXPECT_EQ(outcome_of(run_request()), "the backend server is being taken out of service");
}

} // namespace
} // namespace oriole::links
