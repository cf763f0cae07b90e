#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "entry/types/forwarded_statement.h"
#include "fleet/types/registered_instance.h"

#include <boost/asio/awaitable.hpp>

namespace oriole::entry {

/// The call was not accepted by the instance, so the statement has not run.
class gateway_refused : public error {
public:
    using error::error;
};

/// The call was sent, but no usable answer arrived, so the statement may have run.
class gateway_outcome_unknown : public error {
public:
    using error::error;
};

/// Calls to other instances from the traffic thread: to gateways, which run statements for other
/// instances, and to coordinators, which admit operations against account rates. Not thread-safe.
class gateway_calls {
public:
    virtual ~gateway_calls() = default;

    /// Returns whether the instance may be called now: its last call did not fail, or the pause
    /// after the failure is over.
    [[nodiscard]] virtual bool usable(const instance_id& instance, clock::time_point now) const = 0;

    /// Runs the statement at the gateway. Throws gateway_refused and gateway_outcome_unknown.
    [[nodiscard]] virtual boost::asio::awaitable<forwarded_outcome>
    run(fleet::registered_instance gateway, forwarded_statement forwarded,
        clock::time_point deadline) = 0;

    /// Requests a rollback of the transaction at the gateway, without waiting for the answer.
    virtual void roll_back(const fleet::registered_instance& gateway,
                           std::uint64_t transaction) = 0;

    /// Returns how many of the account's operations the coordinator admits, at most `operations`.
    /// Throws gateway_refused and gateway_outcome_unknown.
    [[nodiscard]] virtual boost::asio::awaitable<int>
    admit(fleet::registered_instance coordinator, account_name account, int operations) = 0;
};

} // namespace oriole::entry
