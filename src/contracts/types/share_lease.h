#pragma once

#include "base/clock.h"

#include <compare>

namespace oriole::contracts {

/// Durations of share leases. The holder counts a lease on its own monotonic clock from before it
/// sent the renewal. The planner that reclaims parts waits for the lease and a margin on its own
/// clock, from when it first saw that renewal in the ledger, which is later. The margins cover
/// clocks that run at different speeds, by less than a thousandth. Immutable.
class share_lease {
public:
    share_lease() = default;

    share_lease(clock::duration floor, clock::duration loan, clock::duration sublease)
        : m_floor(floor), m_loan(loan), m_sublease(sublease) {}

    /// Lease of the floor, which is guaranteed to the holder of a slot. Long enough to outlast an
    /// outage of the platform.
    [[nodiscard]] clock::duration floor() const noexcept { return m_floor; }

    [[nodiscard]] clock::duration loan() const noexcept { return m_loan; }

    /// Lease of loan parts that one instance passes on to another; it never ends after the first
    /// instance's own lease.
    [[nodiscard]] clock::duration sublease() const noexcept { return m_sublease; }

    [[nodiscard]] clock::duration floor_margin() const noexcept { return m_floor / floor_fraction; }

    [[nodiscard]] clock::duration loan_margin() const noexcept { return m_loan / loan_fraction; }

    [[nodiscard]] clock::duration sublease_margin() const noexcept {
        return m_sublease / loan_fraction;
    }

    friend auto operator<=>(const share_lease&, const share_lease&) = default;

private:
    static constexpr int floor_fraction = 100;
    static constexpr int loan_fraction = 10;

    clock::duration m_floor = std::chrono::hours(2);
    clock::duration m_loan = std::chrono::seconds(10);
    clock::duration m_sublease = std::chrono::seconds(4);
};

} // namespace oriole::contracts
