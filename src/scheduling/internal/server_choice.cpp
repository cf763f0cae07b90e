#include "scheduling/server_choice.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <limits>
#include <numeric>

namespace oriole::scheduling {
namespace {

using seconds = std::chrono::duration<double>;

/// Part of the latency target by which a server of another zone has to be faster, because traffic
/// between zones is charged and a caller does not notice less.
constexpr double other_zone_cost = 0.05;
/// The primary has the writes of all zones, which no other server can take.
constexpr double primary_cost = other_zone_cost / 2;
/// Part of the latency target that a refusal as busy costs: the time for which a statement is
/// tried.
constexpr double refusal_cost = 0.25;
/// Costs that differ by this part of the latency target differ in weight by a factor of e.
constexpr double cost_scale = other_zone_cost / 2;

/// A candidate's place in the order; lower values come first.
struct place {
    read_suitability suitability = read_suitability::ready;
    double key = 0;

    friend auto operator<=>(const place&, const place&) = default;
};

/// The cost of a read, in parts of the latency target.
double cost_of(const read_candidate& candidate, seconds target) {
    return candidate.response / target + candidate.refused_share * refusal_cost +
           (candidate.in_own_zone ? 0 : other_zone_cost) + (candidate.primary ? primary_cost : 0);
}

class weighted_server_choice final : public server_choice {
public:
    explicit weighted_server_choice(random_source& random) : m_random(random) {}

    [[nodiscard]] std::vector<std::size_t> order(const std::vector<read_candidate>& candidates,
                                                 clock::duration latency_target) override {
        const seconds target = std::max<seconds>(latency_target, clock::duration(1));
        std::vector<double> costs;
        costs.reserve(candidates.size());
        for (const auto& candidate : candidates) {
            costs.push_back(cost_of(candidate, target));
        }
        std::vector<place> places;
        places.reserve(candidates.size());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            places.push_back({candidates[i].suitability, key_of(i, candidates, costs)});
        }
        std::vector<std::size_t> result(candidates.size());
        std::iota(result.begin(), result.end(), std::size_t{0});
        std::sort(result.begin(), result.end(), [&places](std::size_t left, std::size_t right) {
            return places[left] < places[right];
        });
        return result;
    }

private:
    /// Returns the key by which a candidate is ordered among those that are equally suitable. The
    /// smallest of exponentially distributed keys is each candidate's with a probability in
    /// proportion to its rate, here exp(-cost / scale). A server of the own zone that has the
    /// lowest cost comes first.
    [[nodiscard]] double key_of(std::size_t index, const std::vector<read_candidate>& candidates,
                                const std::vector<double>& costs) {
        const double lowest = lowest_cost(candidates[index].suitability, candidates, costs);
        const double excess = costs[index] - lowest;
        if (candidates[index].in_own_zone && excess == 0) {
            return -uniform();
        }
        return -std::log(uniform()) * std::exp(excess / cost_scale);
    }

    [[nodiscard]] static double lowest_cost(read_suitability suitability,
                                            const std::vector<read_candidate>& candidates,
                                            const std::vector<double>& costs) {
        double lowest = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].suitability == suitability) {
                lowest = std::min(lowest, costs[i]);
            }
        }
        return lowest;
    }

    /// Uniform in (0, 1].
    [[nodiscard]] double uniform() {
        constexpr double steps = 9007199254740992.0; // 2^53, the precision of a double
        return (static_cast<double>(m_random.next() >> 11U) + 1) / steps;
    }

    random_source& m_random;
};

} // namespace

std::unique_ptr<server_choice> make_weighted_server_choice(random_source& random) {
    return std::make_unique<weighted_server_choice>(random);
}

} // namespace oriole::scheduling
