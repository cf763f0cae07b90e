#include "links/platform_link.h"

#include "platform/platform_server.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <gtest/gtest.h>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::use_awaitable;
using std::chrono::milliseconds;

class http_platform_link_test : public testing::Test {
protected:
    http_platform_link_test()
        : m_server(standins::make_platform_server(m_io, {})),
          m_link(make_http_platform_link(m_server->address())) {}

    /// Runs the coroutine to its end and rethrows its exception.
    template <class T>
    T run(awaitable<T> work) {
        auto done = asio::co_spawn(m_io, std::move(work), asio::use_future);
        m_io.restart();
        while (done.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            m_io.run_one();
        }
        return done.get();
    }

    awaitable<void> send_faults(std::string body) {
        const auto address = m_server->address();
        boost::beast::tcp_stream stream(m_io);
        const asio::ip::tcp::endpoint remote(asio::ip::make_address(address.address()),
                                             address.port());
        co_await stream.async_connect(remote, use_awaitable);
        http::request<http::string_body> request(http::verb::put, "/v1/faults", 11);
        request.body() = std::move(body);
        request.prepare_payload();
        co_await http::async_write(stream, request, use_awaitable);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        co_await http::async_read(stream, buffer, answer, use_awaitable);
    }

    void set_faults(const std::string& body) { run(send_faults(body)); }

    asio::io_context m_io{1};
    std::unique_ptr<standins::platform_server> m_server;
    std::unique_ptr<platform_link> m_link;
};

// Guards against reporting a successful update as failed, or as a conflict with itself, when the
// platform's answer to it is lost.
TEST_F(http_platform_link_test, lost_answers_put_reports_each_own_update_once) {
    set_faults(R"({"lost_answer_share":0.2,"seed":5})");
    constexpr std::uint64_t updates = 40;
    std::uint64_t version = 0;
    int unreachable = 0;
    while (version < updates) {
        const std::string value = "value " + std::to_string(version);
        try {
            const auto stored =
                run(m_link->put("a", value, version, "op-" + std::to_string(version)));
            ASSERT_EQ(stored, version + 1);
            ++version;
        } catch (const platform_unreachable&) {
            ++unreachable;
        }
    }
    set_faults(R"({"lost_answer_share":0})");
    const auto stored = run(m_link->get("a"));
    EXPECT_EQ(stored, (stored_object{"value 39", updates}));
    EXPECT_LT(unreachable, static_cast<int>(updates));
}

// Guards against an update that overwrites a change made by another operator.
TEST_F(http_platform_link_test, other_version_put_throws_conflict) {
    EXPECT_EQ(run(m_link->put("a", "one", 0, "op-1")), 1U);
    EXPECT_THROW(run(m_link->put("a", "two", 0, "op-2")), version_conflict);
    EXPECT_EQ(run(m_link->get("a"))->value, "one");
    EXPECT_EQ(run(m_link->get("b")), std::nullopt);
}

// Guards against a watch that misses a change, which would delay the revocation of a key.
TEST_F(http_platform_link_test, change_during_watch_is_reported) {
    auto watched = asio::co_spawn(m_io, m_link->watch("config/", 0, std::chrono::seconds(60)),
                                  asio::use_future);
    run(m_link->put("other", "x", 0, "op-1"));
    run(m_link->put("config/head", "x", 0, "op-2"));
    m_io.restart();
    while (watched.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        m_io.run_one();
    }
    EXPECT_EQ(watched.get(), (watch_result{2, {{"config/head", 1}}}));
}

// Guards against an instance whose fields are altered by the platform, so that peers use a wrong
// address.
TEST_F(http_platform_link_test, announced_instance_is_listed_unchanged) {
    const auto self = machines::instance::builder()
                          .id(instance_id("i 1/ä"))
                          .zone(zone_name("zone-a"))
                          .caller_endpoint({"127.0.0.1", 1})
                          .admin_endpoint({"127.0.0.1", 2})
                          .peer_endpoint({"127.0.0.1", 3})
                          .state(machines::instance_state::leaving)
                          .build();
    run(m_link->announce(self));
    EXPECT_EQ(run(m_link->instances()), std::vector{self});
    run(m_link->withdraw(self.id()));
    EXPECT_TRUE(run(m_link->instances()).empty());
}

// Guards against an outage that is not reported, or is reported as an empty result.
TEST_F(http_platform_link_test, platform_down_calls_throw_unreachable) {
    run(m_link->put("a", "one", 0, "op-1"));
    set_faults(R"({"down":true})");
    EXPECT_THROW(run(m_link->get("a")), platform_unreachable);
    EXPECT_THROW(run(m_link->put("a", "two", 1, "op-2")), platform_unreachable);
    EXPECT_THROW(run(m_link->watch("a", 1, milliseconds(10))), platform_unreachable);
    set_faults(R"({"down":false})");
    EXPECT_EQ(run(m_link->get("a"))->value, "one");
}

/// A platform of the test that sends each answer a second time: at once, or when the next request
/// has arrived on the same connection.
class repeated_answer_test : public http_platform_link_test,
                             public testing::WithParamInterface<bool> {
protected:
    repeated_answer_test() {
        asio::co_spawn(m_io, accept_connections(), asio::detached);
        const endpoint address("127.0.0.1", m_acceptor.local_endpoint().port());
        m_link = make_http_platform_link(address);
    }

    awaitable<void> accept_connections() {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(use_awaitable);
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(asio::ip::tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        std::string late_repeat;
        try {
            while (true) {
                http::request<http::string_body> request;
                co_await http::async_read(socket, buffer, request, use_awaitable);
                const std::string target(request.target());
                const std::string answer = "HTTP/1.1 200 OK\r\nOriole-Version: 1\r\n"
                                           "Content-Length: " +
                                           std::to_string(target.size()) + "\r\n\r\n" + target;
                const bool at_once = GetParam();
                const std::string sent = std::exchange(late_repeat, at_once ? "" : answer) +
                                         answer + (at_once ? answer : "");
                co_await asio::async_write(socket, asio::buffer(sent), use_awaitable);
            }
        } catch (const boost::system::system_error&) {
            co_return;
        }
    }

    asio::ip::tcp::acceptor m_acceptor{
        m_io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

// Guards against an object that is read as the value of another one, such as an older
// configuration, because the platform answered twice.
TEST_P(repeated_answer_test, each_read_gets_its_own_object) {
    for (const std::string path : {"a", "b", "c"}) {
        EXPECT_EQ(run(m_link->get(path))->value, "/v1/objects/" + path);
    }
}

INSTANTIATE_TEST_SUITE_P(repeats, repeated_answer_test, testing::Bool(), [](const auto& at_once) {
    return at_once.param ? "at_once" : "during_the_next_call";
});

} // namespace
} // namespace oriole::links
