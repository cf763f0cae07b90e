#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace oriole::app {

/// Suspends the calling coroutine without blocking its thread.
[[nodiscard]] boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds time);

} // namespace oriole::app
