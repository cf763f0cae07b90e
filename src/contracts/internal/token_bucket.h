#pragma once

#include "base/clock.h"
#include "contracts/types/rate.h"
#include "contracts/types/share.h"
#include "contracts/types/spend_result.h"

namespace oriole::contracts {

/// Token bucket of one client account in one traffic thread. Invariant: it never holds more tokens
/// than the burst of the unexpired pieces of its share. Not thread-safe.
class token_bucket {
public:
    /// The bucket starts empty at `now`.
    explicit token_bucket(clock::time_point now) : m_updated(now) {}

    void set_share(double per_second, double burst, const share& held, clock::time_point now);

    [[nodiscard]] spend_result try_spend(double cost, clock::time_point now);

private:
    /// Accrues tokens until `now`. When a piece of the share expires, drops it together with the
    /// tokens above the remaining burst.
    void advance(clock::time_point now);

    void accrue_until(clock::time_point time);

    [[nodiscard]] double share_fraction() const noexcept {
        return static_cast<double>(m_held_parts) / static_cast<double>(whole_share);
    }

    /// Tokens accrued per second.
    [[nodiscard]] double accrual_rate() const noexcept;

    double m_per_second = 0;
    double m_burst = 0;
    std::vector<share_piece> m_pieces; ///< ordered by expiry
    share_parts m_held_parts = 0;      ///< sum over m_pieces
    double m_tokens = 0;
    clock::time_point m_updated;
};

} // namespace oriole::contracts
