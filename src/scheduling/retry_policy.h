#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "base/types/name.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace oriole::scheduling {

/// Decides whether a statement that a server refused for lack of capacity is sent again, so that
/// refused work does not come back as more load. One per service and traffic thread; not
/// thread-safe.
class retry_policy {
public:
    virtual ~retry_policy() = default;

    /// Counts a statement of the account. Its retries are not counted.
    virtual void add_statement(const account_name& account) = 0;

    /// Returns the pause before retry number `retry`, counted from 0; none when the statement must
    /// not be sent again.
    [[nodiscard]] virtual std::optional<clock::duration>
    pause_before_retry(const account_name& account, std::uint32_t retry, clock::time_point now,
                       clock::time_point latest_start) = 0;
};

/// Retries while the account's budget lasts and the pause ends before `latest_start`. Precondition:
/// `random` outlives the policy.
[[nodiscard]] std::unique_ptr<retry_policy> make_budgeted_retry_policy(random_source& random);

} // namespace oriole::scheduling
