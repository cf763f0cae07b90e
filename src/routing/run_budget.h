#pragma once

#include "base/clock.h"
#include "fleet/types/configuration.h"

#include <algorithm>
#include <chrono>

namespace oriole::routing {

/// Time limits of one statement, from its route's settings and its arrival time.
class run_budget {
public:
    run_budget(const fleet::route& route, clock::time_point arrived)
        : m_deadline(arrived + route.statement_timeout),
          m_wait_deadline(arrived + route.latency_target / 4),
          m_latest_start(std::max(m_wait_deadline,
                                  arrived + std::min(route.latency_target / 2, max_queue_time))) {}

    /// Time at which a statement that is already running at a server times out.
    [[nodiscard]] clock::time_point deadline() const noexcept { return m_deadline; }

    /// Latest time until which a statement waits for a connection or a primary. It is early enough
    /// for a client that is refused then to be served by another instance in time.
    [[nodiscard]] clock::time_point wait_deadline() const noexcept { return m_wait_deadline; }

    /// Latest time until which a statement waits in the queue of a server that serves by priority.
    /// Such a queue refuses at once what it cannot serve in time, so a statement may wait for as
    /// long as it leaves half of the target for its execution.
    [[nodiscard]] clock::time_point latest_start() const noexcept { return m_latest_start; }

    [[nodiscard]] clock::time_point attempt_deadline() const noexcept { return m_wait_deadline; }

    /// Returns whether it is too late to start another attempt.
    [[nodiscard]] bool expired(clock::time_point now) const noexcept {
        return now >= attempt_deadline();
    }

private:
    /// A statement that waits longer is sent to another gateway meanwhile.
    static constexpr clock::duration max_queue_time = std::chrono::milliseconds(400);

    clock::time_point m_deadline;
    clock::time_point m_wait_deadline;
    clock::time_point m_latest_start;
};

} // namespace oriole::routing
