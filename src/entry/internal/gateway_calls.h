#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "entry/types/forwarded_statement.h"
#include "fleet/types/listed_instance.h"

#include <boost/asio/awaitable.hpp>

namespace oriole::entry {

/// The instance did not take the call: nothing has run.
class gateway_refused : public error {
public:
    using error::error;
};

/// The instance took the call and did not answer.
class gateway_silent : public error {
public:
    using error::error;
};

/// Calls to other instances from the traffic thread. Not thread-safe.
class gateway_calls {
public:
    virtual ~gateway_calls() = default;

    /// Whether the instance may be called now: it has not failed lately, or it is time to try it
    /// again.
    [[nodiscard]] virtual bool usable(const instance_id& instance, clock::time_point now) const = 0;

    /// Throws gateway_refused and gateway_silent.
    [[nodiscard]] virtual boost::asio::awaitable<forwarded_outcome>
    run(fleet::listed_instance gateway, forwarded_statement forwarded,
        clock::time_point deadline) = 0;

    /// Gives up a transaction at the gateway, without waiting for it.
    virtual void roll_back(const fleet::listed_instance& gateway, std::uint64_t transaction) = 0;

    /// How many of the account's operations the keeper admits. Throws gateway_refused and
    /// gateway_silent.
    [[nodiscard]] virtual boost::asio::awaitable<int>
    admit(fleet::listed_instance keeper, account_name account, int operations) = 0;
};

} // namespace oriole::entry
