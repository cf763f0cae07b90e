#include "machines/slow_start.h"

#include <algorithm>
#include <optional>

namespace oriole::machines {
namespace {

constexpr double initial_factor = 0.1;

/// Short enough that a database reaches full throughput within 3 s of a failover, as required.
constexpr std::chrono::duration<double> ramp_time{2.0};

class linear_slow_start final : public slow_start {
public:
    void begin(clock::time_point now) override { m_begun_at = now; }

    [[nodiscard]] double factor(clock::time_point now) const override {
        if (!m_begun_at) {
            return 1.0;
        }
        const std::chrono::duration<double> passed = now - *m_begun_at;
        return std::clamp(passed / ramp_time, initial_factor, 1.0);
    }

private:
    std::optional<clock::time_point> m_begun_at;
};

} // namespace

std::unique_ptr<slow_start> make_linear_slow_start() {
    return std::make_unique<linear_slow_start>();
}

} // namespace oriole::machines
