#pragma once

#include "base/clock.h"

#include <map>
#include <optional>

namespace oriole::scheduling {

/// Smoothed execution times at one server by the priority of the statements, because statements of
/// different routes differ in length. Not thread-safe.
class execution_times {
public:
    void add(int priority, clock::duration time, clock::time_point now);

    /// The smoothed execution time; none before the first statement of the priority.
    [[nodiscard]] std::optional<clock::duration> expected(int priority) const;

    /// Returns whether statements of the priority take much longer than in the last minute at best.
    [[nodiscard]] bool slowed(int priority) const;

private:
    struct averages {
        double smoothed = 0; ///< in ns
        int samples = 0;
        double window_minimum = 0; ///< lowest smoothed value of the current window; 0 for none
        double previous_minimum = 0;
        clock::time_point window_start{};
    };

    std::map<int, averages> m_by_priority;
};

} // namespace oriole::scheduling
