#include "machines/concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

constexpr double initial_limit = 64;
constexpr double min_limit = 2;
constexpr double max_limit = 1024;

/// Latency up to this multiple of the minimum is not taken as queueing at the server.
constexpr double latency_tolerance = 2.0;

/// Lower bound of the latency with which the smoothed latency is compared. Below it, scheduling
/// jitter and coalesced writes outweigh queueing: an idle server answers in about 50 us, a busy one
/// in several hundred.
constexpr clock::duration min_baseline = milliseconds(1);

constexpr double smoothing_factor = 0.05;

/// Minimum time between changes of the limit, so that a change affects the latency before the next.
constexpr clock::duration min_step_interval = milliseconds(10);

/// The minimum latency is taken over one to two windows. A server that has become permanently
/// slower is thus compared with its former latency for two windows at most.
constexpr clock::duration minimum_window = std::chrono::seconds(30);

constexpr double min_gradient = 0.5;
constexpr double timeout_factor = 0.9;

class gradient_concurrency_limiter final : public concurrency_limiter {
public:
    [[nodiscard]] std::size_t limit() const noexcept override {
        return static_cast<std::size_t>(m_limit);
    }

    void answered(clock::duration latency, std::size_t in_flight, clock::time_point now) override {
        update_minimum(latency, now);
        const auto sample = static_cast<double>(latency.count());
        m_smoothed =
            m_smoothed == 0 ? sample : m_smoothed + smoothing_factor * (sample - m_smoothed);
        m_max_in_flight = std::max(m_max_in_flight, in_flight);
        if (now - m_last_change >= std::max(min_step_interval, this->latency())) {
            update_limit(now);
        }
    }

    void timed_out(clock::time_point now) override {
        if (now - m_last_change >= min_step_interval) {
            set_limit(m_limit * timeout_factor, now);
        }
    }

    [[nodiscard]] clock::duration latency() const noexcept override {
        return clock::duration(static_cast<clock::duration::rep>(m_smoothed));
    }

private:
    void update_minimum(clock::duration latency, clock::time_point now) {
        if (now - m_window_start >= minimum_window) {
            m_previous_minimum = m_minimum;
            m_minimum.reset();
            m_window_start = now;
        }
        m_minimum = std::min(m_minimum.value_or(latency), latency);
    }

    [[nodiscard]] double baseline() const {
        const auto minimum = std::min(m_minimum.value_or(clock::duration::max()),
                                      m_previous_minimum.value_or(clock::duration::max()));
        return static_cast<double>(std::max(minimum, min_baseline).count());
    }

    void update_limit(clock::time_point now) {
        const double gradient =
            std::clamp(latency_tolerance * baseline() / m_smoothed, min_gradient, 1.0);
        const bool in_use = 2 * static_cast<double>(m_max_in_flight) >= m_limit;
        const double headroom = in_use && gradient == 1.0 ? std::sqrt(m_limit) : 0.0;
        set_limit(m_limit * gradient + headroom, now);
    }

    void set_limit(double limit, clock::time_point now) {
        m_limit = std::clamp(limit, min_limit, max_limit);
        m_last_change = now;
        m_max_in_flight = 0;
    }

    double m_limit = initial_limit;
    double m_smoothed = 0; ///< smoothed latency in ns; 0 before the first answer
    std::optional<clock::duration> m_minimum;
    std::optional<clock::duration> m_previous_minimum;
    clock::time_point m_window_start;
    clock::time_point m_last_change;
    std::size_t m_max_in_flight = 0;
};

} // namespace

std::unique_ptr<concurrency_limiter> make_gradient_concurrency_limiter() {
    return std::make_unique<gradient_concurrency_limiter>();
}

} // namespace oriole::machines
