#include "scheduling/slot_limit.h"

#include <algorithm>
#include <cmath>

namespace oriole::scheduling {
namespace {

using std::chrono::milliseconds;

/// Statements beyond the server's slots that are on their way to it or back.
constexpr double in_transit_share = 0.25;
/// Growth per round of answers, that is, per `limit()` answers.
constexpr double growth_per_round = 0.25;
constexpr double refusal_factor = 0.67;
constexpr double slow_down_factor = 0.9;
/// Statements that were sent under the former limit are refused for the same reason, so they do not
/// lower it again.
constexpr clock::duration min_decrease_interval = milliseconds(100);

class adaptive_slot_limit final : public slot_limit {
public:
    explicit adaptive_slot_limit(int slots) {
        set_slots(slots);
        m_limit = m_max;
    }

    [[nodiscard]] std::size_t limit() const noexcept override {
        return static_cast<std::size_t>(m_limit);
    }

    void set_slots(int slots) override {
        m_max = std::max(1.0, std::ceil(slots * (1 + in_transit_share)));
        m_limit = std::min(m_limit, m_max);
    }

    void answered(std::size_t running) override {
        if (running >= limit()) {
            m_limit = std::min(m_max, m_limit + growth_per_round / m_limit);
        }
    }

    void refused(std::size_t running, clock::time_point now) override {
        decrease(std::min(m_limit, static_cast<double>(running)) * refusal_factor, now);
    }

    void slowed(clock::time_point now) override { decrease(m_limit * slow_down_factor, now); }

private:
    void decrease(double limit, clock::time_point now) {
        if (now < m_decrease_after) {
            return;
        }
        m_limit = std::max(1.0, std::min(limit, m_max));
        m_decrease_after = now + min_decrease_interval;
    }

    double m_max = 1;
    double m_limit = 1;
    clock::time_point m_decrease_after{};
};

} // namespace

std::unique_ptr<slot_limit> make_adaptive_slot_limit(int slots) {
    return std::make_unique<adaptive_slot_limit>(slots);
}

} // namespace oriole::scheduling
