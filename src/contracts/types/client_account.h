#pragma once

#include "base/types/name.h"

#include <compare>
#include <utility>

namespace oriole::contracts {

/// A client account (tenant). Its rate limit applies to the whole fleet. Immutable.
class client_account {
public:
    /// `weight` is the account's relative claim to a backend server's capacity under overload.
    /// Precondition: `weight` is positive.
    client_account(account_name name, rate_name rate, double weight)
        : m_name(std::move(name)), m_rate(std::move(rate)), m_weight(weight) {}

    [[nodiscard]] const account_name& name() const noexcept { return m_name; }

    [[nodiscard]] const rate_name& rate() const noexcept { return m_rate; }

    [[nodiscard]] double weight() const noexcept { return m_weight; }

    friend auto operator<=>(const client_account&, const client_account&) = default;

private:
    account_name m_name;
    rate_name m_rate;
    double m_weight;
};

} // namespace oriole::contracts
