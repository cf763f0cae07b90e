#pragma once

#include "base/clock.h"
#include "fleet/types/configuration.h"

namespace oriole::entry {

/// Until when a statement may be worked on, by its route and its arrival.
class run_budget {
public:
    run_budget(const fleet::route& route, clock::time_point arrived)
        : m_deadline(arrived + route.statement_timeout),
          m_end_of_wait(arrived + route.latency_target / 4) {}

    /// A running statement is given up here.
    [[nodiscard]] clock::time_point deadline() const noexcept { return m_deadline; }

    /// No statement waits for a connection or a primary any longer than this: a caller that is
    /// refused early can still be served elsewhere in time.
    [[nodiscard]] clock::time_point end_of_wait() const noexcept { return m_end_of_wait; }

    [[nodiscard]] clock::time_point end() const noexcept { return m_end_of_wait; }

    /// Whether no further attempt may start.
    [[nodiscard]] bool spent(clock::time_point now) const noexcept { return now >= end(); }

private:
    clock::time_point m_deadline;
    clock::time_point m_end_of_wait;
};

} // namespace oriole::entry
