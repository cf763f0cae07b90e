#pragma once

#include "entry/caller_channel.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <stdexcept>
#include <vector>

namespace oriole::entry {

/// A client that sends its statements one after the other, or with the next one on the way while
/// the last is answered.
class fake_caller final : public caller_channel {
public:
    boost::asio::awaitable<std::optional<session_request>> accept() override {
        co_return session_request{"newest", "key"};
    }

    boost::asio::awaitable<bool> wait_for_input(clock::duration) override { co_return true; }

    boost::asio::awaitable<std::optional<sessions::statement>> next() override {
        if (fails) {
            throw std::runtime_error("planted");
        }
        if (statements.empty()) {
            co_return std::nullopt;
        }
        auto statement = statements.front();
        statements.pop_front();
        ++taken;
        co_return statement;
    }

    boost::asio::awaitable<void> confirm_session() override { co_return; }

    boost::asio::awaitable<void> refuse(sessions::answer_code) override {
        ended = true;
        co_return;
    }

    boost::asio::awaitable<void> answer(sessions::server_answer answer) override {
        ++answers;
        codes.push_back(answer.code);
        co_return;
    }

    boost::asio::awaitable<void> answer_and_end(sessions::server_answer answer) override {
        ++answers;
        codes.push_back(answer.code);
        ended = true;
        co_return;
    }

    boost::asio::awaitable<void> wait_for_close(clock::duration) override {
        EXPECT_TRUE(ended);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time_to_close);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    bool has_input() override { return pipelined && !statements.empty(); }

    void close() noexcept override { closed = true; }

    std::deque<sessions::statement> statements;
    bool pipelined = false;
    clock::duration time_to_close{}; ///< from the last answer until the client closes
    bool fails = false;
    int taken = 0;
    int answers = 0;
    std::vector<sessions::answer_code> codes;
    bool ended = false; ///< the stream ended with the last answer
    bool closed = false;
};

} // namespace oriole::entry
