#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace oriole::standins {

/// The faults that the simulated platform injects into its API.
struct platform_faults {
    std::chrono::milliseconds delay{0}; ///< before each request takes effect
    double lost_answer_share = 0.0;     ///< share of requests executed but not answered
    double refuse_share = 0.0;          ///< share of requests answered 503 without effect
    bool down = false;                  ///< close connections without an answer
    std::uint64_t seed = 1;             ///< of the random choice of affected requests

    friend bool operator==(const platform_faults&, const platform_faults&) = default;
};

/// Randomly chooses the requests that a fault affects. Not thread-safe.
class fault_plan {
public:
    explicit fault_plan(platform_faults faults) { set(faults); }

    /// Replaces the faults and restarts the random sequence from their seed.
    void set(platform_faults faults);

    [[nodiscard]] const platform_faults& faults() const noexcept { return m_faults; }

    [[nodiscard]] bool draw_refusal() { return draw_with_probability(m_faults.refuse_share); }

    [[nodiscard]] bool draw_lost_answer() {
        return draw_with_probability(m_faults.lost_answer_share);
    }

private:
    bool draw_with_probability(double share);

    platform_faults m_faults;
    std::mt19937_64 m_engine;
};

} // namespace oriole::standins
