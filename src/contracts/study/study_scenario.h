#pragma once

#include "contracts/study/simulated_fleet.h"

#include <string>
#include <vector>

namespace oriole::contracts {

/// Size of the simulated fleet, and the rate of the account whose requests are simulated.
struct study_size {
    std::string name;
    std::size_t zones = 0;
    std::size_t instances = 0;
    std::uint32_t slots_per_zone = 0;
    double per_second = 0; ///< the account's rate; its burst is one second's worth
};

/// Measurements of the account's requests in a scenario, after the warm-up.
struct study_result {
    std::uint64_t offered = 0;
    std::uint64_t wrongful_refusals = 0; ///< refused, but within rate and burst of the whole fleet
    double excess = 0;                   ///< largest weight above rate and burst in any interval
    double messages_per_second = 0;      ///< sent and received per instance, on average
    double bytes_per_second = 0;
    double max_bytes_per_second = 0; ///< at the instance with the most traffic

    [[nodiscard]] double wrongful_refusal_ratio() const {
        return offered == 0 ? 0
                            : static_cast<double>(wrongful_refusals) / static_cast<double>(offered);
    }
};

/// A scenario: how demand is spread over the instances and which faults occur during the run.
class study_scenario {
public:
    virtual ~study_scenario() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// Largest acceptable ratio of wrongful refusals; 1 if there is no target.
    [[nodiscard]] virtual double target() const = 0;

    /// Relative demand at instance `index` at this second of the run. The simulation scales the
    /// weights to the total demand.
    [[nodiscard]] virtual double weight(std::size_t index, double second) const = 0;

    /// Called before the requests of each simulation step, to cause the scenario's faults. `second`
    /// is the time since the end of the warm-up.
    virtual void act(simulated_fleet& fleet, double second) = 0;

    /// Duration of the measurement in seconds, without the warm-up.
    [[nodiscard]] virtual double length() const = 0;
};

[[nodiscard]] std::vector<std::unique_ptr<study_scenario>> make_scenarios(const study_size& size);

/// Runs a scenario in simulated time. The result depends only on the arguments.
[[nodiscard]] study_result run_scenario(const study_size& size, study_scenario& scenario,
                                        std::uint64_t seed);

} // namespace oriole::contracts
