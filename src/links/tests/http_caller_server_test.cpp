#include "links/caller_server.h"
#include "links/listening_socket.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Refuses each request after a delay.
class fake_handler final : public caller_handler {
public:
    asio::awaitable<caller_answer> handle(caller_request, caller_identity&) override {
        asio::steady_timer timer(co_await asio::this_coro::executor, delay);
        co_await timer.async_wait(asio::use_awaitable);
        co_return refusal(answer_code::unavailable, "refused");
    }

    caller_answer answer_unfinished(const unfinished_request& request) override {
        unfinished.push_back(request);
        return refusal(answer_code::outcome_unknown, "ended");
    }

    std::chrono::milliseconds delay{0};
    std::vector<unfinished_request> unfinished;
};

class http_caller_server_test : public testing::Test {
protected:
    http_caller_server_test() { m_server->start(); }

    static std::uint16_t free_port() {
        asio::io_context io;
        tcp::acceptor acceptor(io);
        listen(acceptor, {"127.0.0.1", 0}, "caller");
        return acceptor.local_endpoint().port();
    }

    /// Connects while the server's thread is busy, so that the connection waits to be accepted.
    [[nodiscard]] tcp::socket connect() {
        tcp::socket client(m_client_io);
        client.connect({asio::ip::address_v4::loopback(), m_port});
        return client;
    }

    static void send_request(tcp::socket& client) {
        http::request<http::string_body> request(http::verb::post, "/v1/services/db-read", 11);
        request.set("Idempotency-Key", "id-1");
        request.body() = R"({"statements":[{"op":"put","row":"a","value":"1"}]})";
        request.prepare_payload();
        http::write(client, request);
    }

    /// Runs the server until the client has its answer; returns the answer's status.
    [[nodiscard]] unsigned receive_status(tcp::socket& client) {
        std::thread server([this] { m_io.run_for(2s); });
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        boost::system::error_code error;
        http::read(client, buffer, response, error);
        client.close();
        m_io.stop();
        server.join();
        EXPECT_FALSE(error) << error.message();
        return error ? 0 : response.result_int();
    }

    asio::io_context m_io{1};
    asio::io_context m_client_io;
    std::uint16_t m_port = free_port();
    fake_handler m_handler;
    metric_registry m_metrics;
    std::shared_ptr<caller_server> m_server = make_http_caller_server(
        {"127.0.0.1", m_port}, {{m_io.get_executor(), &m_handler}}, {}, m_metrics);
};

// Guards against a request whose connection is reset, because it waits to be accepted when the
// server stops accepting.
TEST_F(http_caller_server_test, request_on_a_connection_that_waits_at_the_drain_is_answered) {
    const auto first = connect(); // accepted before the server learns of the drain
    auto client = connect();
    send_request(client);
    m_server->drain();
    EXPECT_EQ(receive_status(client), 503U);
}

// Guards against a request that is cut off without an answer, because it still runs when the time
// to drain is over.
TEST_F(http_caller_server_test, running_request_is_answered_when_requests_are_ended) {
    m_handler.delay = 1min;
    auto client = connect();
    send_request(client);
    while (m_server->requests_in_progress() == 0) {
        ASSERT_EQ(m_io.run_one_for(2s), 1U);
    }
    m_server->end_requests();
    EXPECT_EQ(receive_status(client), 504U);
    EXPECT_EQ(m_handler.unfinished,
              (std::vector{unfinished_request{caller_call::run, true, "id-1"}}));
}

// Guards against a request that is answered twice, because its result arrives after it was ended.
TEST_F(http_caller_server_test, ended_request_gets_no_second_answer) {
    m_handler.delay = 20ms;
    auto client = connect();
    send_request(client);
    while (m_server->requests_in_progress() == 0) {
        ASSERT_EQ(m_io.run_one_for(2s), 1U);
    }
    m_server->end_requests();
    std::string received;
    std::thread server([this] { m_io.run_for(200ms); });
    boost::system::error_code error;
    asio::read(client, asio::dynamic_buffer(received), error);
    server.join();
    EXPECT_EQ(error, asio::error::eof);
    EXPECT_EQ(received.find("HTTP/1.1"), received.rfind("HTTP/1.1"));
}

// Guards against a stop that finds no open connection, while one has just been accepted.
TEST_F(http_caller_server_test, accepted_connection_is_counted_before_the_drain_has_ended) {
    auto client = connect();
    m_server->drain();
    EXPECT_TRUE(m_server->accepting());
    while (m_server->accepting()) {
        ASSERT_EQ(m_io.run_one_for(2s), 1U);
    }
    EXPECT_EQ(m_server->open_connections(), 1U);
}

} // namespace
} // namespace oriole::links
