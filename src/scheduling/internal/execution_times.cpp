#include "scheduling/internal/execution_times.h"

#include <algorithm>

namespace oriole::scheduling {
namespace {

constexpr double smoothing_factor = 0.05;
/// Multiple of the lowest smoothed time from which statements count as slowed by queueing.
constexpr double slow_down_threshold = 2.0;
/// The smoothed time means little before this number of statements.
constexpr int min_samples = 20;
/// The lowest time is taken over one to two windows, so that a server that has become permanently
/// slower is measured against its new times after that.
constexpr clock::duration minimum_window = std::chrono::seconds(30);

} // namespace

void execution_times::add(int priority, clock::duration time, clock::time_point now) {
    auto& known = m_by_priority[priority];
    const auto sample = static_cast<double>(time.count());
    known.smoothed =
        known.samples == 0 ? sample : known.smoothed + smoothing_factor * (sample - known.smoothed);
    known.samples = std::min(known.samples + 1, min_samples);
    if (known.samples < min_samples) {
        return;
    }
    if (now - known.window_start >= minimum_window) {
        known.previous_minimum = known.window_minimum;
        known.window_minimum = 0;
        known.window_start = now;
    }
    known.window_minimum =
        known.window_minimum == 0 ? known.smoothed : std::min(known.window_minimum, known.smoothed);
}

std::optional<clock::duration> execution_times::expected(int priority) const {
    const auto found = m_by_priority.find(priority);
    if (found == m_by_priority.end()) {
        return std::nullopt;
    }
    return clock::duration(static_cast<clock::duration::rep>(found->second.smoothed));
}

bool execution_times::slowed(int priority) const {
    const auto found = m_by_priority.find(priority);
    if (found == m_by_priority.end() || found->second.window_minimum == 0) {
        return false;
    }
    const auto& known = found->second;
    const double lowest = known.previous_minimum == 0
                              ? known.window_minimum
                              : std::min(known.window_minimum, known.previous_minimum);
    return known.smoothed > slow_down_threshold * lowest;
}

} // namespace oriole::scheduling
