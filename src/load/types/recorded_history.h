#pragma once

#include "load/types/recorded_request.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriole::load {

struct rate_limit {
    double per_second = 0;
    double burst = 0;

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// Limits of a client account that the history checker verifies.
struct account_constraints {
    std::optional<rate_limit> limit;
    /// The time from the start of the run at which the key is withdrawn; 0 for a key that never
    /// existed. Requests sent later must not run.
    std::optional<std::chrono::microseconds> key_ends;

    friend bool operator==(const account_constraints&, const account_constraints&) = default;
};

/// All requests of a run. Each row is used by one session only and each value is written only once,
/// so the value that a read must return is known.
struct recorded_history {
    /// The requests of any one session are in the order in which they were sent.
    std::vector<recorded_request> requests;
    std::map<std::string, account_constraints> accounts;

    friend bool operator==(const recorded_history&, const recorded_history&) = default;
};

} // namespace oriole::load
