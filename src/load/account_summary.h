#pragma once

#include "load/types/recorded_history.h"

#include <cstddef>
#include <string>
#include <vector>

namespace oriole::load {

/// Counts of a client account's requests during the load, and how they were answered.
struct account_summary {
    std::size_t requests = 0;
    std::size_t answered = 0;          ///< with the outcome done
    std::size_t refused_over_rate = 0; ///< with status 429
    std::size_t due = 0;               ///< requests that the account's rate and burst admit
    /// Requests that were due but refused with status 429; at most `due` minus `answered`.
    std::size_t wrongly_refused = 0;
    /// The longest time between the responses to two successive acknowledged writes.
    std::chrono::microseconds longest_write_gap{0};

    /// `answered` divided by `due`, at most 1; 1 if nothing is due.
    [[nodiscard]] double share_of_due() const noexcept;

    friend bool operator==(const account_summary&, const account_summary&) = default;
};

/// Determines which requests were due by replaying them, in the order in which they were sent,
/// through one token bucket with the account's full rate and burst. Without a rate limit every
/// request is due.
[[nodiscard]] account_summary summarize_account(const recorded_history& history,
                                                const std::string& account);

} // namespace oriole::load
