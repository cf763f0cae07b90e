#pragma once

#include "base/random_source.h"
#include "base/types/name.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace oriole::contracts {

/// Limits the load that retries add to servers that already fail. Each client account earns a
/// fraction of a retry with each request, so one account's failures do not use up another's
/// retries. Not thread-safe; one per traffic thread.
class retry_budget {
public:
    virtual ~retry_budget() = default;

    /// Counts a request of `account`. Its retries are not counted.
    virtual void add_request(const account_name& account) = 0;

    /// Takes one retry from the budget of `account`. Returns false when none is left.
    [[nodiscard]] virtual bool take_retry(const account_name& account) = 0;

    /// Delay before retry number `retry`, counted from 0. Random between 0 and the upper bound for
    /// that retry, so that callers whose requests failed together do not retry together.
    [[nodiscard]] virtual std::chrono::milliseconds back_off(std::uint32_t retry) = 0;
};

struct retry_budget_settings {
    double retries_per_request = 0.1;
    /// Upper limit of unused retries per account. New accounts start with this many, so that an
    /// account with few requests can retry at all.
    double max_reserve = 10.0;
    std::chrono::milliseconds initial_back_off{10};
    std::chrono::milliseconds max_back_off{200};

    friend bool operator==(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// Precondition: `random` outlives the returned object.
[[nodiscard]] std::unique_ptr<retry_budget> make_retry_budget(random_source& random,
                                                              retry_budget_settings settings = {});

} // namespace oriole::contracts
