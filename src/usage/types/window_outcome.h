#pragma once

#include "base/clock.h"

#include <cstdint>

namespace oriole::usage {

/// Why the report of a window was not made.
enum class miss_reason {
    none,           ///< it was reported
    late,           ///< the limit was over before the report could be made
    zone_missing,   ///< the counts of a zone could not be gathered
    not_observed,   ///< no collector has been one since the window's start
    store_away,     ///< the store did not answer
    store_restored, ///< the store lost the order, so the window may have been reported
    superseded,     ///< an order for a later window exists
    refused,        ///< the platform has seen a higher fencing token
    no_answer       ///< the platform did not answer
};

/// How the report of a window ended.
struct window_outcome {
    std::int64_t window = 0;
    miss_reason reason = miss_reason::none;
    clock::duration lag{}; ///< time since the end of the window

    friend bool operator==(const window_outcome&, const window_outcome&) = default;
};

} // namespace oriole::usage
