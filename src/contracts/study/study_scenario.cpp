#include "contracts/study/study_scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace oriole::contracts {
namespace {

/// Fraction of its rate that the account uses in all scenarios.
constexpr double demand_fraction = 0.8;

/// Fraction of the demand at the busiest instance in scenarios with skewed demand. Half of each
/// rate is divided into floors, so an instance can hold little more than half of the rate.
constexpr double skewed_fraction = 0.5;

constexpr double warm_up_seconds = 40;
constexpr double step_seconds = 0.02;

constexpr double steady_target = 0.001;
constexpr double crash_target = 0.005;
constexpr double no_target = 1;

/// Half of the demand goes to one instance; the others share the rest evenly.
class skewed_scenario : public study_scenario {
public:
    skewed_scenario(std::string name, double target, double length, std::size_t instances)
        : m_name(std::move(name)), m_target(target), m_length(length), m_instances(instances) {}

    [[nodiscard]] std::string name() const override { return m_name; }

    [[nodiscard]] double target() const override { return m_target; }

    [[nodiscard]] double length() const override { return m_length; }

    [[nodiscard]] double weight(std::size_t index, double second) const override {
        const double others = (1 - skewed_fraction) / static_cast<double>(m_instances - 1);
        return index == busiest(second) ? skewed_fraction : others;
    }

    void act(simulated_fleet&, double) override {}

protected:
    [[nodiscard]] virtual std::size_t busiest(double) const { return 0; }

    [[nodiscard]] std::size_t instances() const { return m_instances; }

private:
    std::string m_name;
    double m_target;
    double m_length;
    std::size_t m_instances;
};

/// The busiest instance changes every 20 seconds.
class moving_scenario final : public skewed_scenario {
public:
    explicit moving_scenario(std::size_t instances)
        : skewed_scenario("moving demand", no_target, 60, instances) {}

protected:
    [[nodiscard]] std::size_t busiest(double second) const override {
        constexpr double move_interval_seconds = 20;
        const auto moves = static_cast<std::size_t>(std::max(0.0, second) / move_interval_seconds);
        return (1 + moves) % instances();
    }
};

/// Even demand; one instance crashes and is replaced later.
class crash_scenario final : public study_scenario {
public:
    [[nodiscard]] std::string name() const override { return "death, even demand"; }

    [[nodiscard]] double target() const override { return crash_target; }

    [[nodiscard]] double length() const override { return 60; }

    [[nodiscard]] double weight(std::size_t, double) const override { return 1; }

    void act(simulated_fleet& fleet, double second) override {
        constexpr std::size_t victim = 0;
        constexpr double crash_second = 10;
        constexpr double replacement_second = 30;
        if (second >= crash_second && fleet.is_alive(victim)) {
            fleet.kill(victim);
        }
        if (second >= replacement_second && !m_replaced) {
            fleet.start(zone_name("zone-0"));
            m_replaced = true;
        }
    }

private:
    bool m_replaced = false;
};

/// Skewed demand; the instance `victim` crashes, which may be the busiest one.
class skewed_crash_scenario final : public skewed_scenario {
public:
    skewed_crash_scenario(std::string name, double target, std::size_t victim,
                          std::size_t instances)
        : skewed_scenario(std::move(name), target, 60, instances), m_victim(victim) {}

    void act(simulated_fleet& fleet, double second) override {
        constexpr double crash_second = 10;
        if (second >= crash_second && fleet.is_alive(m_victim)) {
            fleet.kill(m_victim);
        }
    }

private:
    std::size_t m_victim;
};

/// Even demand; all instances are replaced one after the other during the run. Each new instance
/// starts before the old one stops.
class rolling_scenario final : public study_scenario {
public:
    explicit rolling_scenario(const study_size& size) : m_size(size) {}

    [[nodiscard]] std::string name() const override { return "rolling replacement"; }

    [[nodiscard]] double target() const override { return no_target; }

    [[nodiscard]] double length() const override { return 120; }

    [[nodiscard]] double weight(std::size_t, double) const override { return 1; }

    void act(simulated_fleet& fleet, double second) override {
        constexpr double rolling_seconds = 100;
        const double due = second / rolling_seconds * static_cast<double>(m_size.instances);
        while (m_replaced < m_size.instances && static_cast<double>(m_replaced) < due) {
            const std::string zone = "zone-" + std::to_string(m_replaced % m_size.zones);
            fleet.start(zone_name(zone));
            fleet.stop(m_replaced);
            ++m_replaced;
        }
    }

private:
    study_size m_size;
    std::size_t m_replaced = 0;
};

/// Skewed demand; the platform is unavailable for the last two thirds of the run.
class outage_scenario final : public skewed_scenario {
public:
    explicit outage_scenario(std::size_t instances)
        : skewed_scenario("platform outage, skewed", no_target, 60, instances) {}

    void act(simulated_fleet& fleet, double second) override {
        constexpr double outage_second = 20;
        fleet.set_platform(second < outage_second);
    }
};

class even_outage_scenario final : public study_scenario {
public:
    [[nodiscard]] std::string name() const override { return "platform outage, even"; }

    [[nodiscard]] double target() const override { return no_target; }

    [[nodiscard]] double length() const override { return 60; }

    [[nodiscard]] double weight(std::size_t, double) const override { return 1; }

    void act(simulated_fleet& fleet, double second) override {
        constexpr double outage_second = 20;
        fleet.set_platform(second < outage_second);
    }
};

/// Runs one scenario: sends the requests of each time step and counts the results.
class scenario_run {
public:
    scenario_run(const study_size& size, study_scenario& scenario, std::uint64_t seed)
        : m_size(size),
          m_scenario(scenario),
          m_fleet(options(size, seed)),
          m_arrivals(seed),
          m_reference(size.per_second, size.per_second, m_fleet.now()) {
        for (std::size_t i = 0; i < size.instances; ++i) {
            m_fleet.start(zone_name("zone-" + std::to_string(i % size.zones)));
        }
    }

    [[nodiscard]] study_result run() {
        const auto steps = std::lround((warm_up_seconds + m_scenario.length()) / step_seconds);
        const auto first_measured = std::lround(warm_up_seconds / step_seconds);
        for (long step = 0; step < steps; ++step) {
            if (step == first_measured) {
                start_measuring();
            }
            const double second = static_cast<double>(step) * step_seconds - warm_up_seconds;
            if (second >= 0) {
                m_scenario.act(m_fleet, second);
            }
            offer(second);
            m_fleet.run_for(std::chrono::duration_cast<clock::duration>(
                std::chrono::duration<double>(step_seconds)));
        }
        return finish();
    }

private:
    [[nodiscard]] static fleet_options options(const study_size& size, std::uint64_t seed) {
        fleet_options result;
        result.seed = seed;
        result.slots_per_zone = size.slots_per_zone;
        for (std::size_t zone = 0; zone < size.zones; ++zone) {
            result.zones.emplace_back("zone-" + std::to_string(zone));
        }
        const account_name account("account-0");
        result.rates.emplace(account, rate(rate_name("r"), size.per_second, size.per_second));
        constexpr double max_clock_drift = 0.0005;
        result.max_clock_drift = max_clock_drift;
        return result;
    }

    /// Sends the requests of one time step to the instances that are ready, in proportion to the
    /// scenario's weights.
    void offer(double second) {
        std::vector<double> weights(m_fleet.size(), 0);
        double sum = 0;
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            weights[i] = m_fleet.is_ready(i) ? m_scenario.weight(i, second) : 0;
            sum += weights[i];
        }
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            if (weights[i] > 0) {
                offer_at(i, m_size.per_second * demand_fraction * weights[i] / sum * step_seconds);
            }
        }
    }

    void offer_at(std::size_t index, double mean) {
        const int arrivals = std::poisson_distribution<int>(mean)(m_arrivals);
        for (int i = 0; i < arrivals; ++i) {
            const bool admitted = m_fleet.offer(index, m_account, 1);
            const bool is_within_rate = m_reference.would_admit(1, m_fleet.now());
            if (admitted) {
                m_reference.admit(1, m_fleet.now());
            }
            ++m_result.offered;
            m_result.wrongful_refusals += !admitted && is_within_rate ? 1 : 0;
        }
    }

    void start_measuring() {
        m_result = {};
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_before.push_back(m_fleet.traffic_of(i));
        }
    }

    [[nodiscard]] study_result finish() {
        m_result.excess = m_reference.excess();
        m_before.resize(m_fleet.size());
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            const auto& after = m_fleet.traffic_of(i);
            const double bytes =
                static_cast<double>(after.bytes - m_before[i].bytes) / m_scenario.length();
            m_result.messages_per_second +=
                static_cast<double>(after.messages - m_before[i].messages) / m_scenario.length();
            m_result.bytes_per_second += bytes;
            m_result.max_bytes_per_second = std::max(m_result.max_bytes_per_second, bytes);
        }
        m_result.messages_per_second /= static_cast<double>(m_size.instances);
        m_result.bytes_per_second /= static_cast<double>(m_size.instances);
        return m_result;
    }

    study_size m_size;
    study_scenario& m_scenario;
    simulated_fleet m_fleet;
    std::mt19937_64 m_arrivals;
    reference_bucket m_reference;
    account_name m_account{"account-0"};
    study_result m_result;
    std::vector<simulated_fleet::traffic> m_before;
};

} // namespace

std::vector<std::unique_ptr<study_scenario>> make_scenarios(const study_size& size) {
    const std::size_t count = size.instances;
    std::vector<std::unique_ptr<study_scenario>> result;
    result.push_back(std::make_unique<skewed_scenario>("steady skew", steady_target, 60, count));
    result.push_back(std::make_unique<crash_scenario>());
    result.push_back(
        std::make_unique<skewed_crash_scenario>("death, skewed demand", crash_target, 1, count));
    result.push_back(
        std::make_unique<skewed_crash_scenario>("death of the busiest", no_target, 0, count));
    result.push_back(std::make_unique<moving_scenario>(count));
    result.push_back(std::make_unique<rolling_scenario>(size));
    result.push_back(std::make_unique<even_outage_scenario>());
    result.push_back(std::make_unique<outage_scenario>(count));
    return result;
}

study_result run_scenario(const study_size& size, study_scenario& scenario, std::uint64_t seed) {
    return scenario_run(size, scenario, seed).run();
}

} // namespace oriole::contracts
