#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <cstdint>

namespace oriole::usage {

/// Operations of one account that began to run at servers at about the same time.
struct counted_runs {
    clock::time_point began{}; ///< by the boot clock, rounded down to run_counter::resolution
    account_name account;
    std::uint64_t count = 0;

    friend bool operator==(const counted_runs&, const counted_runs&) = default;
};

} // namespace oriole::usage
