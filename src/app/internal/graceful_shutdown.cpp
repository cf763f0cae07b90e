#include <utility>

#include "app/internal/graceful_shutdown.h"

#include "app/internal/sleep_for.h"
#include "base/clock.h"

#include <glog/logging.h>

namespace oriole::app {
namespace {

constexpr std::chrono::milliseconds poll_interval{20};
/// Active callers receive an answer with "Connection: close" within this time. Connections that
/// are still open afterwards are idle.
constexpr std::chrono::milliseconds idle_grace{2000};
/// Time after the drain limit for callers to read the answers to requests that were ended.
constexpr std::chrono::milliseconds last_answers_time{300};

} // namespace

boost::asio::awaitable<void> drain_callers(links::caller_server& callers,
                                           std::function<std::size_t()> open_transactions,
                                           shutdown_limits limits) {
    co_await sleep_for(limits.drain_delay);
    callers.drain();
    const auto start = steady_clock().now();
    bool idle_closed = false;
    while (callers.accepting() || callers.open_connections() > 0) {
        const auto waited = steady_clock().now() - start;
        if (waited > limits.drain_limit) {
            LOG(WARNING) << "stopping with callers still connected connections="
                         << callers.open_connections()
                         << " requests=" << callers.requests_in_progress();
            callers.end_requests();
            co_await sleep_for(last_answers_time);
            co_return;
        }
        if (!idle_closed && waited > idle_grace && open_transactions() == 0) {
            callers.close_connections([](const links::caller_identity&) { return true; });
            idle_closed = true;
        }
        co_await sleep_for(poll_interval);
    }
}

} // namespace oriole::app
