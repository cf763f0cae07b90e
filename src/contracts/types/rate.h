#pragma once

#include "base/types/name.h"

#include <compare>
#include <utility>

namespace oriole::contracts {

/// A named rate limit and burst, in units of request weight. Immutable.
class rate {
public:
    rate(rate_name name, double per_second, double burst)
        : m_name(std::move(name)), m_per_second(per_second), m_burst(burst) {}

    [[nodiscard]] const rate_name& name() const noexcept { return m_name; }

    [[nodiscard]] double per_second() const noexcept { return m_per_second; }

    [[nodiscard]] double burst() const noexcept { return m_burst; }

    friend auto operator<=>(const rate&, const rate&) = default;

private:
    rate_name m_name;
    double m_per_second;
    double m_burst;
};

} // namespace oriole::contracts
