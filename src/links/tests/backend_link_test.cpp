#include "links/backend_codec.h"
#include "links/backend_link.h"
#include "links/frame_buffer.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Connects a link to a listener of the test, which receives and answers requests as the server.
class backend_link_test : public testing::Test {
protected:
    backend_link_test() {
        asio::co_spawn(m_context, connect(), asio::detached);
        run([this] { return m_link != nullptr; });
        m_server = m_acceptor.accept();
    }

    asio::awaitable<void> connect() {
        const endpoint address("127.0.0.1", m_acceptor.local_endpoint().port());
        const auto connector = make_tcp_backend_connector();
        m_link = co_await connector->connect(address, steady_clock().now() + seconds(60));
    }

    void run(const std::function<bool()>& done) {
        while (!done()) {
            ASSERT_GT(m_context.run_one_for(seconds(60)), 0U);
        }
    }

    /// Starts a call and returns its index in m_outcomes, where its result or failure is stored.
    std::size_t start_call(clock::duration timeout) {
        const std::size_t call_index = m_outcomes.size();
        m_outcomes.emplace_back();
        asio::co_spawn(m_context, call(call_index, timeout), asio::detached);
        return call_index;
    }

    asio::awaitable<void> call(std::size_t call_index, clock::duration timeout) {
        std::string text;
        try {
            backend_call request = begin_request{call_index};
            const auto deadline = steady_clock().now() + timeout;
            const auto result = co_await m_link->call(std::move(request), deadline);
            text = "term " + std::to_string(std::get<accepted_answer>(result).term);
        } catch (const link_error& failure) {
            text = failure.sent() ? "sent" : "not sent";
        }
        m_outcomes[call_index] = text;
    }

    /// Reads `count` requests on the server side.
    std::vector<backend_request> receive(std::size_t count) {
        std::vector<backend_request> requests;
        while (requests.size() < count) {
            if (const auto frame = m_input.next()) {
                requests.push_back(m_codec->decode_request(*frame));
                continue;
            }
            if (m_server.available() == 0) {
                m_context.run_one_for(milliseconds(1));
                continue;
            }
            const auto space = m_input.prepare();
            m_input.commit(m_server.read_some(asio::buffer(space.data(), space.size())));
        }
        return requests;
    }

    void answer(std::uint64_t id, std::uint64_t term) {
        std::string bytes;
        append_frame(bytes, m_codec->encode(backend_answer{id, accepted_answer{term}}));
        asio::write(m_server, asio::buffer(bytes));
    }

    void expect(std::size_t call_index, const std::string& outcome) {
        run([this, call_index] { return m_outcomes[call_index].has_value(); });
        EXPECT_EQ(m_outcomes[call_index], outcome);
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    tcp::socket m_server{m_context};
    std::shared_ptr<backend_link> m_link;
    std::unique_ptr<backend_codec> m_codec = make_msgpack_backend_codec();
    frame_buffer m_input;
    std::vector<std::optional<std::string>> m_outcomes;
};

// Guards against one caller receiving the answer to another when answers arrive out of order
// (invariant S8).
TEST_F(backend_link_test, answers_in_any_order_reach_their_calls) {
    constexpr std::size_t calls = 20;
    for (std::size_t i = 0; i < calls; ++i) {
        (void)start_call(seconds(60));
    }
    auto requests = receive(calls);
    std::reverse(requests.begin(), requests.end());
    for (const backend_request& request : requests) {
        answer(request.id, std::get<begin_request>(request.call).term);
    }
    for (std::size_t i = 0; i < calls; ++i) {
        expect(i, "term " + std::to_string(i));
    }
}

// Guards against a late answer that closes the link or is delivered to a later call.
TEST_F(backend_link_test, late_answer_is_dropped_and_link_stays_usable) {
    const auto late = start_call(milliseconds(1));
    const auto first = receive(1).at(0);
    expect(late, "sent");
    const auto next = start_call(seconds(60));
    answer(first.id, 7);
    answer(receive(1).at(0).id, 8);
    expect(next, "term 8");
    EXPECT_TRUE(m_link->usable());
}

// Guards against further use of a connection whose answers do not match its requests
// (invariant S8).
TEST_F(backend_link_test, unknown_answer_id_fails_all_calls_and_closes_link) {
    const auto first = start_call(seconds(60));
    const auto second = start_call(seconds(60));
    (void)receive(2);
    answer(999, 1);
    expect(first, "sent");
    expect(second, "sent");
    EXPECT_FALSE(m_link->usable());
    expect(start_call(seconds(60)), "not sent");
}

// Guards against an answer that arrives a second time and is taken for the answer to a later call.
TEST_F(backend_link_test, repeated_answer_reaches_no_other_call_and_closes_link) {
    const auto first = start_call(seconds(60));
    const auto first_id = receive(1).at(0).id;
    answer(first_id, 7);
    expect(first, "term 7");
    const auto second = start_call(seconds(60));
    (void)receive(1);
    answer(first_id, 7);
    expect(second, "sent");
    EXPECT_FALSE(m_link->usable());
}

// Guards against a truncated answer that is accepted as complete.
TEST_F(backend_link_test, truncated_frame_fails_the_call) {
    const auto call_index = start_call(seconds(60));
    (void)receive(1);
    asio::write(m_server, asio::buffer(std::string("\0\0\0\x20half", 8)));
    m_server.close();
    expect(call_index, "sent");
    EXPECT_FALSE(m_link->usable());
}

// Guards against an allocation of the size that a corrupt length prefix declares.
TEST_F(backend_link_test, oversize_frame_closes_the_link) {
    const auto call_index = start_call(seconds(60));
    (void)receive(1);
    asio::write(m_server, asio::buffer(std::string("\xff\xff\xff\xff", 4)));
    expect(call_index, "sent");
}

} // namespace
} // namespace oriole::links
