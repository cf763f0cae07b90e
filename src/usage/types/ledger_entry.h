#pragma once

#include "usage/types/account_counts.h"

#include <compare>
#include <cstdint>
#include <map>

namespace oriole::usage {

/// Identifies the counts of one process in one window.
struct entry_key {
    std::int64_t window = 0;
    instance_id instance;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const entry_key&, const entry_key&) = default;
};

/// What one process has counted in one window, or the part of it that has changed. Counts are
/// cumulative: of two copies the larger count of an account is the newer one.
struct ledger_entry {
    entry_key key;
    account_counts counts;
    std::uint64_t total = 0; ///< sum over all accounts, also over those that are not in `counts`

    friend bool operator==(const ledger_entry&, const ledger_entry&) = default;
};

/// The sum of the counts that an instance holds of each entry.
using known_totals = std::map<entry_key, std::uint64_t>;

} // namespace oriole::usage
