#include "zones/anti_entropy.h"

#include <utility>

namespace oriole::zones {
namespace {

/// The maximum jitter is a quarter of the period, period / 4, in either direction.
constexpr int jitter_divisor = 4;

class random_anti_entropy final : public anti_entropy {
public:
    random_anti_entropy(random_source& random, clock::duration period)
        : m_random(random), m_period(period) {}

    [[nodiscard]] clock::duration next_delay() override {
        const auto jitter = m_period / jitter_divisor;
        const auto span = static_cast<std::uint64_t>(2 * jitter.count()) + 1;
        return m_period - jitter + clock::duration(m_random.next() % span);
    }

    [[nodiscard]] std::optional<instance_id> pick_peer(const std::vector<instance_id>& members,
                                                       const instance_id& self) override {
        std::vector<instance_id> others;
        for (const auto& member : members) {
            if (member != self) {
                others.push_back(member);
            }
        }
        if (others.empty()) {
            return std::nullopt;
        }
        return others[m_random.next() % others.size()];
    }

private:
    random_source& m_random;
    clock::duration m_period;
};

} // namespace

std::unique_ptr<anti_entropy> make_random_anti_entropy(random_source& random,
                                                       clock::duration period) {
    return std::make_unique<random_anti_entropy>(random, period);
}

} // namespace oriole::zones
