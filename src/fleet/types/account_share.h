#pragma once

#include <compare>

namespace oriole::fleet {

/// The share of an account's rate limit that this instance may admit.
struct account_share {
    double operations_per_s = 0;
    double burst = 0; ///< capacity of the token bucket, in operations

    friend auto operator<=>(const account_share&, const account_share&) = default;
};

} // namespace oriole::fleet
