#pragma once

#include <compare>

namespace oriole::fleet {

/// The part of an account's rate that this instance may spend.
struct account_share {
    double operations_per_s = 0;
    double burst = 0;

    friend auto operator<=>(const account_share&, const account_share&) = default;
};

} // namespace oriole::fleet
