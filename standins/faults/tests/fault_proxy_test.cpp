#include "faults/fault_proxy.h"

#include "base/errors.h"

#include <utility>

#include <boost/asio.hpp>

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// A proxy in front of an echo server. Both run on one background thread; the client uses blocking
/// calls on the test thread.
class fault_proxy_test : public testing::Test {
public:
    fault_proxy_test(const fault_proxy_test&) = delete;
    fault_proxy_test& operator=(const fault_proxy_test&) = delete;

    ~fault_proxy_test() override {
        m_io.stop();
        m_thread.join();
    }

protected:
    fault_proxy_test() : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        const auto local = m_acceptor.local_endpoint();
        m_proxy = make_fault_proxy(m_io, {"127.0.0.1", 0}, {"127.0.0.1", local.port()});
        asio::co_spawn(m_io, accept(), asio::detached);
        m_thread = std::thread([this] { m_io.run(); });
    }

    void set_faults(const fault_settings& settings) {
        asio::post(m_io, asio::use_future([this, settings] { m_proxy->set_faults(settings); }))
            .get();
    }

    tcp::socket connect() {
        tcp::socket client(m_client_io);
        client.connect({asio::ip::address_v4::loopback(), m_proxy->address().port()});
        return client;
    }

    static void send(tcp::socket& client, const std::string& text) {
        asio::write(client, asio::buffer(text));
    }

    static std::string receive(tcp::socket& client, std::size_t size, error_code& failed) {
        std::string text(size, '\0');
        text.resize(asio::read(client, asio::buffer(text), failed));
        return text;
    }

    /// Waits for the end of the first connection to the target; returns what the target received.
    std::string received_by_target() { return m_received.get_future().get(); }

private:
    asio::awaitable<void> accept() {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_io, echo(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> echo(tcp::socket socket) {
        const bool first = !std::exchange(m_accepted, true);
        std::string received;
        std::string buffer(256, '\0');
        error_code failed;
        while (!failed) {
            const std::size_t size = co_await socket.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
            received.append(buffer, 0, size);
            if (!failed) {
                co_await asio::async_write(socket, asio::buffer(buffer.data(), size),
                                           asio::redirect_error(asio::use_awaitable, failed));
            }
        }
        if (first) {
            m_received.set_value(received);
        }
    }

    asio::io_context m_io{1};
    asio::io_context m_client_io{1};
    tcp::acceptor m_acceptor;
    std::unique_ptr<fault_proxy> m_proxy;
    std::promise<std::string> m_received;
    bool m_accepted = false;
    std::thread m_thread;
};

// Guards against delayed chunks that are reordered, changed or lost.
TEST_F(fault_proxy_test, delay_with_jitter_keeps_bytes_and_order) {
    fault_settings settings;
    settings.delay = std::chrono::milliseconds(1);
    settings.jitter = std::chrono::milliseconds(5);
    set_faults(settings);
    auto client = connect();
    std::string sent;
    for (int i = 0; i < 20; ++i) {
        const std::string part = "part " + std::to_string(i) + ";";
        send(client, part);
        sent += part;
    }
    error_code failed;
    EXPECT_EQ(receive(client, sent.size(), failed), sent);
    EXPECT_FALSE(failed);
}

// Guards against bytes that are forwarded although they should be dropped.
TEST_F(fault_proxy_test, dropped_bytes_never_reach_the_target) {
    auto client = connect();
    error_code failed;
    send(client, "a");
    EXPECT_EQ(receive(client, 1, failed), "a");
    fault_settings settings;
    settings.drop_to_target = true;
    set_faults(settings);
    send(client, "b");
    client.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(receive(client, 1, failed), "");
    EXPECT_EQ(received_by_target(), "a");
}

// Guards against a cut that keeps connections open or accepts new ones, and against a proxy that
// does not listen again after the cut.
TEST_F(fault_proxy_test, cut_closes_and_refuses_connections_until_it_ends) {
    auto client = connect();
    send(client, "a");
    error_code failed;
    receive(client, 1, failed);
    fault_settings settings;
    settings.cut = true;
    set_faults(settings);
    receive(client, 1, failed);
    EXPECT_TRUE(failed);
    EXPECT_THROW(connect(), boost::system::system_error);
    set_faults({});
    auto again = connect();
    send(again, "b");
    EXPECT_EQ(receive(again, 1, failed), "b");
}

// Guards against a truncation that forwards more or fewer bytes than configured.
TEST_F(fault_proxy_test, truncation_closes_connection_after_configured_bytes) {
    fault_settings settings;
    settings.truncate_after_bytes = 3;
    set_faults(settings);
    auto client = connect();
    send(client, "abcdef");
    error_code failed;
    EXPECT_EQ(receive(client, 6, failed), "abc");
    EXPECT_TRUE(failed);
}

// Guards against fault settings that are misread without an error.
TEST_F(fault_proxy_test, settings_round_trip_through_json_and_invalid_ones_are_rejected) {
    const fault_settings settings{
        std::chrono::milliseconds(7), std::chrono::milliseconds(3), true, true, true, 5, 9};
    EXPECT_EQ(read_fault_settings(write_fault_settings(settings)), settings);
    EXPECT_EQ(read_fault_settings("{}"), fault_settings{});
    EXPECT_THROW((void)read_fault_settings(R"({"delay_ms":"x"})"), invalid_input);
    EXPECT_THROW((void)read_fault_settings(R"({"delay_ms":-1})"), invalid_input);
}

} // namespace
} // namespace oriole::standins
