#pragma once

#include "usage/types/true_time.h"

namespace oriole::usage {

/// A clock that states the time since the start of 1970. It can be set, so it may step.
class wall_clock {
public:
    virtual ~wall_clock() = default;

    /// Thread-safe.
    [[nodiscard]] virtual true_time now() const = 0;
};

/// The machine's wall clock. Thread-safe; lives as long as the process.
[[nodiscard]] const wall_clock& system_wall_clock();

} // namespace oriole::usage
