#pragma once

#include "links/caller_server.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>

namespace oriole::app {

/// Durations of the phases of a graceful shutdown.
struct shutdown_limits {
    std::chrono::milliseconds drain_delay{0};
    std::chrono::milliseconds drain_limit{0};
};

/// Drains caller connections. Accepts new ones for the drain delay, so that the load balancer can
/// remove the instance first, then stops accepting and waits until all connections have closed or
/// the drain limit has passed; then it ends the requests that are still running. Idle connections
/// are closed after a grace period, since a caller may be about to send a request, and not while
/// `open_transactions` returns more than zero.
[[nodiscard]] boost::asio::awaitable<void>
drain_callers(links::caller_server& callers, std::function<std::size_t()> open_transactions,
              shutdown_limits limits);

} // namespace oriole::app
