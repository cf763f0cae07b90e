#pragma once

#include "base/clock.h"
#include "machines/types/log_position.h"

namespace oriole::machines {

/// A position that the primary's log had reached at time `at` by this instance's clock.
struct position_sample {
    clock::time_point at;
    log_position position;

    friend bool operator==(const position_sample&, const position_sample&) = default;
};

} // namespace oriole::machines
