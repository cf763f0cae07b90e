#pragma once

#include "base/clock.h"

#include <algorithm>

namespace oriole::contracts {

/// A single token bucket that sees all requests of an account in true time, to check the decisions
/// of a whole fleet: its level never becomes negative exactly if the weight admitted in every
/// interval [a, b] is at most rate * (b - a) + burst.
class reference_bucket {
public:
    reference_bucket(double per_second, double burst, clock::time_point now)
        : m_per_second(per_second), m_burst(burst), m_level(burst), m_updated(now) {}

    /// Whether a request of that weight is within the account's rate and burst.
    [[nodiscard]] bool would_admit(double weight, clock::time_point now) {
        advance(now);
        return weight <= m_level;
    }

    void admit(double weight, clock::time_point now) {
        advance(now);
        m_level -= weight;
        m_excess = std::max(m_excess, -m_level);
    }

    /// Largest weight by which any interval exceeded rate and burst.
    [[nodiscard]] double excess() const noexcept { return m_excess; }

private:
    void advance(clock::time_point now) {
        const std::chrono::duration<double> elapsed = now - m_updated;
        m_level = std::min(m_burst, m_level + m_per_second * elapsed.count());
        m_updated = now;
    }

    double m_per_second;
    double m_burst;
    double m_level;
    clock::time_point m_updated;
    double m_excess = 0;
};

} // namespace oriole::contracts
