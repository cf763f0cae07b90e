#pragma once

#include "base/clock.h"

#include <compare>
#include <optional>

namespace oriole::contracts {

/// Whether a request was admitted by the rate limiter of this instance. Immutable.
class spend_result {
public:
    [[nodiscard]] static spend_result admitted() { return spend_result{true, std::nullopt}; }

    /// `retry_after` is the time until the share has accrued enough tokens, or none if the cost
    /// exceeds the share's burst, so that it never will.
    [[nodiscard]] static spend_result refused(std::optional<clock::duration> retry_after) {
        return spend_result{false, retry_after};
    }

    [[nodiscard]] bool is_admitted() const noexcept { return m_admitted; }

    [[nodiscard]] std::optional<clock::duration> retry_after() const noexcept {
        return m_retry_after;
    }

    friend auto operator<=>(const spend_result&, const spend_result&) = default;

private:
    spend_result(bool admitted, std::optional<clock::duration> retry_after)
        : m_admitted(admitted), m_retry_after(retry_after) {}

    bool m_admitted;
    std::optional<clock::duration> m_retry_after;
};

} // namespace oriole::contracts
