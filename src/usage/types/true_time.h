#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace oriole::usage {

/// Time since the start of 1970, as stated by a wall clock or agreed on by several.
using true_time = std::chrono::time_point<std::chrono::system_clock, clock::duration>;

/// The number of the window of the given length that contains `time`. Precondition: `window` is
/// positive.
[[nodiscard]] constexpr std::int64_t window_at(true_time time, clock::duration window) {
    const auto since_epoch = time.time_since_epoch();
    const auto quotient = since_epoch / window;
    return since_epoch % window < clock::duration::zero() ? quotient - 1 : quotient;
}

/// When the window with this number ends.
[[nodiscard]] constexpr true_time window_end(std::int64_t number, clock::duration window) {
    return true_time((number + 1) * window);
}

} // namespace oriole::usage
