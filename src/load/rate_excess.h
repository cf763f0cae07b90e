#pragma once

#include "load/types/recorded_history.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace oriole::load {

/// The time interval in which a history exceeds a rate limit by the most requests.
struct rate_interval {
    std::chrono::microseconds from{0};
    std::chrono::microseconds to{0};
    std::size_t requests = 0;
    double excess = 0; ///< requests minus (rate times interval plus burst); 0 or less: none

    friend bool operator==(const rate_interval&, const rate_interval&) = default;
};

/// Finds the interval with the largest excess among the requests `done`. A request counts only if
/// it was both sent and answered within the interval, since the time of its admission in between is
/// not known. The result is exact over all intervals; takes O(n log n) time for n requests.
[[nodiscard]] rate_interval find_rate_excess(const std::vector<const recorded_request*>& done,
                                             const rate_limit& limit);

} // namespace oriole::load
