#pragma once

#include <utility>

#include "base/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::entry {

/// Suspends the calling coroutine for `time`.
[[nodiscard]] inline boost::asio::awaitable<void> pause(boost::asio::any_io_executor executor,
                                                        clock::duration time) {
    boost::asio::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

/// A random duration from 0 up to `limit`, to spread calls of many instances. Thread-safe.
[[nodiscard]] clock::duration random_part_of(clock::duration limit);

} // namespace oriole::entry
