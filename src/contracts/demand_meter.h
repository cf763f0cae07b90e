#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "contracts/types/rate.h"
#include "contracts/types/share.h"

namespace oriole::contracts {

/// Measures the smoothed request rate of each client account at this instance, including requests
/// that were refused. Not thread-safe; runs on the control thread, which adds the counts that the
/// traffic threads report.
class demand_meter {
public:
    virtual ~demand_meter() = default;

    /// Adds requests with the given total weight to the current measuring interval.
    virtual void add(const account_name& account, double weight) = 0;

    /// Ends the measuring interval that began at the last call. The first call only starts the
    /// measurement.
    virtual void advance(clock::time_point now) = 0;

    /// Request weight per second, with headroom, that the account needs at this instance. Changes
    /// only when demand changes by more than random variation.
    [[nodiscard]] virtual double needed(const account_name& account) const = 0;

    /// Like `needed`, but averaged over about the last second only, so that it falls quickly when
    /// callers move to other instances.
    [[nodiscard]] virtual double needed_recently(const account_name& account) const = 0;
};

/// Converts a request rate to parts of the account's configured rate `whole`, rounded up, at most
/// the whole rate.
[[nodiscard]] share_parts to_parts(double needed_per_second, const rate& whole);

} // namespace oriole::contracts
