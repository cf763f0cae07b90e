#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "contracts/types/rate.h"
#include "contracts/types/share.h"
#include "contracts/types/spend_result.h"

namespace oriole::contracts {

/// One traffic thread's token buckets, one per client account. They are filled from the thread's
/// share of the account's rate and burst. Each traffic thread has its own limiter, so no call takes
/// a lock. Not thread-safe.
class rate_limiter {
public:
    virtual ~rate_limiter() = default;

    /// Replaces the share of `account`. A lower share or rate takes effect at once: tokens above
    /// the new burst are dropped. A higher one only accrues tokens faster and adds none, because
    /// the previous holder of the added share may already have spent its tokens.
    virtual void set_share(const account_name& account, const rate& whole, const share& held,
                           clock::time_point now) = 0;

    /// Refuses all further requests of the account.
    virtual void remove(const account_name& account) = 0;

    /// Admits a request of weight `cost` if the account has that many tokens in this thread. Leases
    /// are checked against `now`, so a thread that was paused does not spend from a lease that
    /// expired meanwhile. Requests of unknown accounts are refused.
    [[nodiscard]] virtual spend_result try_spend(const account_name& account, double cost,
                                                 clock::time_point now) = 0;
};

} // namespace oriole::contracts
