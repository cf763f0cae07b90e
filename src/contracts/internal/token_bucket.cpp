#include "contracts/internal/token_bucket.h"

#include <algorithm>

namespace oriole::contracts {
namespace {

/// Factor by which token accrual is slowed, so that the fleet stays within the rate when monotonic
/// clocks run fast. Time synchronisation adjusts their speed by up to 500 millionths.
constexpr double clock_drift_factor = 0.999;

[[nodiscard]] double to_seconds(clock::duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void token_bucket::set_share(double per_second, double burst, const share& held,
                             clock::time_point now) {
    advance(now);
    m_per_second = per_second;
    m_burst = burst;
    m_pieces = held.pieces();
    m_held_parts = 0;
    for (const auto& piece : m_pieces) {
        m_held_parts += piece.parts();
    }
    advance(now);
    m_tokens = std::min(m_tokens, m_burst * share_fraction());
}

spend_result token_bucket::try_spend(double cost, clock::time_point now) {
    advance(now);
    if (cost <= m_tokens) {
        m_tokens -= cost;
        return spend_result::admitted();
    }
    if (accrual_rate() <= 0 || cost > m_burst * share_fraction()) {
        return spend_result::refused(std::nullopt);
    }
    const std::chrono::duration<double> wait((cost - m_tokens) / accrual_rate());
    return spend_result::refused(std::chrono::ceil<clock::duration>(wait));
}

void token_bucket::advance(clock::time_point now) {
    const clock::time_point time = std::max(now, m_updated);
    auto expired = m_pieces.begin();
    for (; expired != m_pieces.end() && expired->expires() <= time; ++expired) {
        accrue_until(expired->expires());
        m_held_parts -= expired->parts();
        m_tokens = std::min(m_tokens, m_burst * share_fraction());
    }
    m_pieces.erase(m_pieces.begin(), expired);
    accrue_until(time);
}

double token_bucket::accrual_rate() const noexcept {
    return m_per_second * share_fraction() * clock_drift_factor;
}

void token_bucket::accrue_until(clock::time_point time) {
    if (time <= m_updated) {
        return;
    }
    const double gained = accrual_rate() * to_seconds(time - m_updated);
    m_tokens = std::min(m_tokens + gained, m_burst * share_fraction());
    m_updated = time;
}

} // namespace oriole::contracts
