#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "contracts/types/share.h"

#include <cstddef>
#include <map>
#include <vector>

namespace oriole::contracts {

/// The share of each account that a traffic thread may spend, by thread index.
using thread_shares = std::vector<std::map<account_name, share>>;

/// Divides the instance's shares among its traffic threads in proportion to their demand. A change
/// is published in two steps: first the threads that lose parts are reduced and, once all threads
/// use the reduced shares, the others are increased. Not thread-safe; owned by the control thread.
class share_divider {
public:
    virtual ~share_divider() = default;

    virtual void add_demand(std::size_t thread, const account_name& account, double weight) = 0;

    /// Computes new fractions from the demand. Should be called about once a second.
    virtual void advance() = 0;

    /// Shares for the first step of a change: each thread gets the smaller of its present and its
    /// next fraction of `held`. The sum stays within `held` while some threads still use the
    /// previous shares.
    [[nodiscard]] virtual thread_shares
    reduced_shares(const std::map<account_name, share>& held) const = 0;

    /// Whether the second step of a change is still due, in which the threads get the parts that
    /// `reduced_shares` took from others.
    [[nodiscard]] virtual bool has_pending_increase() const = 0;

    /// Shares for the second step of a change: makes the next fractions the present ones.
    /// Precondition: all threads use the result of `reduced_shares`.
    [[nodiscard]] virtual thread_shares next_shares(const std::map<account_name, share>& held) = 0;
};

} // namespace oriole::contracts
