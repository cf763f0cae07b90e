#pragma once

#include "base/clock.h"

namespace oriole::usage {

/// What the deployment requires of usage reports.
struct usage_settings {
    clock::duration window{};     ///< length of a usage window
    clock::duration late_limit{}; ///< time after a window's end within which its report is due
    /// How long only the instance that wrote the last usage order may write the next one.
    clock::duration lease{};

    friend bool operator==(const usage_settings&, const usage_settings&) = default;
};

} // namespace oriole::usage
