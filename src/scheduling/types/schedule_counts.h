#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>

namespace oriole::scheduling {

/// What became of the statements of one priority.
struct priority_counts {
    std::int64_t started = 0;       ///< that were given a slot
    std::int64_t refused_ahead = 0; ///< refused on arrival: they could not have started in time
    std::int64_t refused_waited =
        0; ///< refused after waiting, or to make room for more urgent ones
    std::int64_t refused_by_server = 0;
    clock::duration waited{}; ///< of those that were given a slot

    priority_counts& operator+=(const priority_counts& other) {
        started += other.started;
        refused_ahead += other.refused_ahead;
        refused_waited += other.refused_waited;
        refused_by_server += other.refused_by_server;
        waited += other.waited;
        return *this;
    }

    friend bool operator==(const priority_counts&, const priority_counts&) = default;
};

using schedule_counts = std::map<int, priority_counts>;

} // namespace oriole::scheduling
