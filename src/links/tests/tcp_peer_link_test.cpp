#include "links/backend_link.h"
#include "links/internal/peer_connection.h"
#include "links/internal/peer_session.h"
#include "links/peer_link.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;

class tcp_peer_link_test : public testing::Test {
protected:
    tcp_peer_link_test()
        : m_server(make_peer_server(m_io.get_executor(), {"127.0.0.1", 0}, "peer", {"secret"})),
          m_link(make_peer_link(m_io.get_executor(), {"secret"})),
          m_unauthorized_link(make_peer_link(m_io.get_executor(), {"other"})) {
        m_server->add_method("echo", [this](std::string params) -> awaitable<std::string> {
            ++m_calls;
            co_return params;
        });
        m_server->add_method("fail", [](std::string) -> awaitable<std::string> {
            throw error("handler failed");
            co_return "";
        });
        m_server->add_method("refuse", [](std::string) -> awaitable<std::string> {
            throw peer_call_refused("handler refused");
            co_return "";
        });
        m_server->add_method("wait", [this](std::string) -> awaitable<std::string> {
            asio::steady_timer timer(m_io, std::chrono::hours(1));
            co_await timer.async_wait(asio::use_awaitable);
            co_return "{}";
        });
    }

    std::string call(peer_link& link, const std::string& method, const std::string& params,
                     clock::duration timeout = std::chrono::seconds(60)) {
        const auto deadline = steady_clock().now() + timeout;
        auto done = asio::co_spawn(m_io, link.call(m_server->address(), method, params, deadline),
                                   asio::use_future);
        m_io.restart();
        while (done.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            m_io.run_one();
        }
        return done.get();
    }

    asio::io_context m_io{1};
    int m_calls = 0;
    std::unique_ptr<peer_server> m_server;
    std::unique_ptr<peer_link> m_link;
    std::unique_ptr<peer_link> m_unauthorized_link;
};

// Guards against a handshake for each call, which would dominate the control traffic.
TEST_F(tcp_peer_link_test, second_call_reuses_connection) {
    EXPECT_EQ(call(*m_link, "echo", R"({"a":1})"), R"({"a":1})");
    const auto first = m_link->bytes();
    EXPECT_EQ(call(*m_link, "echo", R"({"a":2})"), R"({"a":2})");
    EXPECT_LT(m_link->bytes() - first, first);
}

// Guards against a server that runs a handler for a peer that does not know the secret.
TEST_F(tcp_peer_link_test, wrong_secret_is_rejected_before_any_handler_runs) {
    EXPECT_THROW(call(*m_unauthorized_link, "echo", "{}"), link_error);
    EXPECT_EQ(m_calls, 0);
}

// Guards against a server that sends data to a peer that has not been authenticated.
TEST_F(tcp_peer_link_test, unauthenticated_connection_is_closed_without_response) {
    const auto address = m_server->address();
    tcp::socket socket(m_io);
    socket.connect({asio::ip::make_address(address.address()), address.port()});
    asio::write(socket, asio::buffer(with_peer_length(std::string(peer_hello_bytes, 'x'))));
    std::string received;
    auto done = asio::async_read(socket, asio::dynamic_buffer(received), asio::use_future);
    while (done.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        m_io.run_one();
    }
    EXPECT_THROW(done.get(), boost::system::system_error);
    EXPECT_EQ(received, "");
}

// Guards against a long call that is lost because it is the first one on its connection, and
// against a server that keeps the small frame limit for an authenticated peer.
TEST_F(tcp_peer_link_test, large_request_passes_as_first_and_as_later_call) {
    const std::string large = R"({"text":")" + std::string(1'000'000, 'x') + R"("})";
    EXPECT_EQ(call(*m_link, "echo", large), large);
    EXPECT_EQ(call(*m_link, "echo", "{}"), "{}");
    EXPECT_EQ(call(*m_link, "echo", large), large);
    EXPECT_EQ(m_calls, 3);
}

// Guards against a server that allocates a large frame for a peer whose hello may be a replay.
TEST_F(tcp_peer_link_test, large_first_frame_is_closed_without_response) {
    const auto address = m_server->address();
    tcp::socket socket(m_io);
    socket.connect({asio::ip::make_address(address.address()), address.port()});
    peer_session session(peer_side::caller, derive_peer_key({"secret"}), make_peer_challenge());
    asio::write(socket, asio::buffer(with_peer_length(session.hello())));
    std::string hello(peer_length_bytes + peer_hello_bytes, '\0');
    auto greeted = asio::async_read(socket, asio::buffer(hello), asio::use_future);
    while (greeted.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        m_io.run_one();
    }
    session.accept_hello(std::string_view(hello).substr(peer_length_bytes));
    const std::string first = session.seal(std::string(max_first_peer_call_bytes + 1, ' '));
    asio::write(socket, asio::buffer(with_peer_length(first).substr(0, peer_length_bytes)));
    std::string received;
    auto done = asio::async_read(socket, asio::dynamic_buffer(received), asio::use_future);
    while (done.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        m_io.run_one();
    }
    EXPECT_THROW(done.get(), boost::system::system_error);
    EXPECT_EQ(received, "");
}

// Guards against a call that is too long and counts as one that the peer may have run.
TEST_F(tcp_peer_link_test, call_above_the_maximum_is_not_sent) {
    const std::string large = R"({"text":")" + std::string(max_peer_message_bytes, 'x') + R"("})";
    EXPECT_THROW(call(*m_link, "echo", large), peer_call_too_long);
    EXPECT_EQ(m_calls, 0);
    EXPECT_EQ(m_link->bytes(), 0U);
}

// Guards against an answer that ends its connection without a reason because it is too long.
TEST_F(tcp_peer_link_test, result_above_the_maximum_is_reported_as_failed_call) {
    m_server->add_method("grow", [](std::string) -> awaitable<std::string> {
        co_return '"' + std::string(max_peer_message_bytes, 'x') + '"';
    });
    EXPECT_THROW(call(*m_link, "grow", "{}"), peer_call_failed);
    const auto before = m_link->bytes();
    EXPECT_EQ(call(*m_link, "echo", "{}"), "{}");
    EXPECT_LT(m_link->bytes() - before, max_first_peer_call_bytes);
}

// Guards against a text of a caller that is changed between two instances.
TEST_F(tcp_peer_link_test, every_character_passes_unchanged) {
    std::string text = R"({"text":")";
    for (int code = 0; code <= 0xff; ++code) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += std::string("\\u00") + digits[static_cast<unsigned>(code) >> 4U] +
                digits[static_cast<unsigned>(code) & 0x0fU];
    }
    text += R"("})";
    EXPECT_EQ(nlohmann::json::parse(call(*m_link, "echo", text)), nlohmann::json::parse(text));
}

// Guards against handler errors that close the connection or are reported as an unreachable peer.
TEST_F(tcp_peer_link_test, failed_handler_is_reported_as_failed_call) {
    EXPECT_THROW(call(*m_link, "fail", "{}"), peer_call_failed);
    EXPECT_THROW(call(*m_link, "unknown", "{}"), peer_call_failed);
    EXPECT_EQ(call(*m_link, "echo", "{}"), "{}");
}

// Guards against a call that is made again elsewhere although it may have taken effect, because its
// handler's error is taken for a refusal.
TEST_F(tcp_peer_link_test, only_calls_without_effect_are_reported_as_refused) {
    EXPECT_THROW(call(*m_link, "refuse", "{}"), peer_call_refused);
    EXPECT_THROW(call(*m_link, "unknown", "{}"), peer_call_refused);
    try {
        call(*m_link, "fail", "{}");
        FAIL() << "no exception";
    } catch (const peer_call_refused& refusal) {
        FAIL() << refusal.what();
    } catch (const peer_call_failed& failure) {
        EXPECT_NE(std::string(failure.what()).find("handler failed"), std::string::npos);
    }
}

// Guards against a call that exceeds its deadline, and against a late answer that is delivered to
// the next call.
TEST_F(tcp_peer_link_test, late_answer_ends_call_and_its_connection) {
    EXPECT_THROW(call(*m_link, "wait", "{}", std::chrono::milliseconds(50)), link_error);
    EXPECT_EQ(call(*m_link, "echo", R"({"a":3})"), R"({"a":3})");
}

// Guards against an idle connection that makes the first call after a restart of the peer fail.
TEST_F(tcp_peer_link_test, restarted_peer_is_reached_over_new_connection) {
    EXPECT_EQ(call(*m_link, "echo", "{}"), "{}");
    const endpoint address = m_server->address();
    m_server.reset();
    m_io.restart();
    m_io.poll();
    m_server = make_peer_server(m_io.get_executor(), address, "peer", {"secret"});
    m_server->add_method("echo",
                         [](std::string params) -> awaitable<std::string> { co_return params; });
    EXPECT_EQ(call(*m_link, "echo", "{}"), "{}");
}

/// A peer whose answers are texts of the test, each sealed as the next frame of its connection.
/// With `m_repeats` it sends the frame of the first answer again in place of later ones.
class misbehaving_peer_test : public tcp_peer_link_test {
protected:
    misbehaving_peer_test() { asio::co_spawn(m_io, accept_connections(), asio::detached); }

    awaitable<void> accept_connections() {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket) {
        peer_connection connection(boost::beast::tcp_stream(std::move(socket)), peer_side::server,
                                   derive_peer_key({"secret"}));
        try {
            const auto hello = co_await read_peer_frame(connection, peer_hello_bytes);
            connection.session.accept_hello(hello);
            std::string frame = connection.session.hello();
            co_await write_peer_frame(connection, frame);
            frame.clear();
            while (true) {
                const auto request = co_await read_peer_frame(connection, max_peer_message_bytes);
                static_cast<void>(connection.session.open(request));
                if (!m_repeats || frame.empty()) {
                    frame = connection.session.seal(m_answer);
                }
                co_await write_peer_frame(connection, frame);
            }
        } catch (const std::exception&) {
            co_return;
        }
    }

    std::string call_misbehaving_peer() {
        const endpoint address("127.0.0.1", m_acceptor.local_endpoint().port());
        const auto deadline = steady_clock().now() + std::chrono::seconds(60);
        auto done =
            asio::co_spawn(m_io, m_link->call(address, "echo", "{}", deadline), asio::use_future);
        m_io.restart();
        while (done.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            m_io.run_one();
        }
        return done.get();
    }

    tcp::acceptor m_acceptor{m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::string m_answer = R"({"jsonrpc":"2.0","id":1,"result":"first"})";
    bool m_repeats = false;
};

// Guards against a call that takes the answer to an earlier one, sealed anew, for its own.
TEST_F(misbehaving_peer_test, answer_to_an_earlier_call_ends_the_call) {
    EXPECT_EQ(call_misbehaving_peer(), R"("first")");
    EXPECT_THROW(call_misbehaving_peer(), unexpected_answer);
}

// Guards against a call that takes the repeated frame of an earlier answer for its own.
TEST_F(misbehaving_peer_test, repeated_frame_ends_the_call) {
    m_repeats = true;
    EXPECT_EQ(call_misbehaving_peer(), R"("first")");
    m_answer = R"({"jsonrpc":"2.0","id":2,"result":"second"})";
    EXPECT_THROW(call_misbehaving_peer(), unexpected_answer);
}

// Guards against a statement that is run again elsewhere, because an answer that cannot be read is
// taken for a refusal.
TEST_F(misbehaving_peer_test, unreadable_answer_is_no_refusal) {
    m_answer = R"({"jsonrpc":"2.0","id":1,"res)";
    EXPECT_THROW(call_misbehaving_peer(), unexpected_answer);
}

} // namespace
} // namespace oriole::links
