#include "contracts/internal/leased_share_holding.h"
#include "contracts/study/reference_bucket.h"
#include "contracts/study/simulated_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace oriole::contracts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class fault { idle, run, long_run, hotspot, kill, join, stop, pause, outage, new_rate };

constexpr int fault_kinds = 10;

struct step {
    fault kind = fault::run;
    unsigned instance = 0;
    unsigned amount = 0; ///< 0 to 255
};

/// Runs a schedule of faults on a simulated fleet whose instances spend all the tokens they have,
/// and measures by how much they exceed the account's rate and burst in true time.
class fault_schedule {
public:
    fault_schedule(fleet_options options, bool changes_rates)
        : m_fleet(std::move(options)),
          m_changes_rates(changes_rates),
          m_highest_rate_reference(highest_rate(), highest_rate(), m_fleet.now()) {
        for (const char* zone : {"a", "a", "a", "b", "b"}) {
            m_fleet.start(zone_name(zone));
        }
    }

    void run(const std::vector<step>& steps) {
        // The token buckets start empty and the reference bucket full. Once all are full, any
        // request above the limit is measured as excess.
        advance(seconds(12), false);
        for (const auto& next : steps) {
            apply(next);
            advance(milliseconds(250));
        }
        m_fleet.set_platform(true);
        advance(seconds(15));
    }

    [[nodiscard]] double excess() const {
        return std::max(m_highest_rate_reference.excess(),
                        m_current_rate_reference ? m_current_rate_reference->excess() : 0);
    }

    [[nodiscard]] double admitted() const { return m_admitted; }

    static constexpr double per_second = 1000;

private:
    [[nodiscard]] double highest_rate() const {
        return m_changes_rates ? 2 * per_second : per_second;
    }

    void apply(const step& next) {
        const std::size_t index = next.instance % m_fleet.size();
        switch (next.kind) {
        case fault::idle:
            return advance(milliseconds(20) * next.amount, false);
        case fault::run:
            m_hotspot.reset();
            return advance(milliseconds(20) * next.amount);
        case fault::long_run:
            return advance(milliseconds(100) * next.amount);
        case fault::hotspot:
            m_hotspot = index;
            return advance(milliseconds(20) * next.amount);
        case fault::kill:
            return m_fleet.kill(index);
        case fault::join:
            m_fleet.start(zone_name(next.amount % 2 == 0 ? "a" : "b"));
            return;
        case fault::stop:
            return m_fleet.stop(index);
        case fault::pause:
            return m_fleet.pause(index, milliseconds(100) * next.amount);
        case fault::outage:
            return m_fleet.set_platform(next.amount % 2 == 0);
        case fault::new_rate:
            return change_rate(next.amount);
        }
    }

    void advance(clock::duration length, bool spends = true) {
        const clock::time_point end = m_fleet.now() + length;
        while (m_fleet.now() < end) {
            m_fleet.run_for(milliseconds(50));
            for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                report(i);
                if (spends) {
                    drain(i);
                }
            }
        }
    }

    /// Reports demand, which decides where loans go but not how much the instances spend.
    void report(std::size_t index) {
        const bool reports_demand = m_hotspot.value_or(index) == index;
        constexpr double reported_weight = 60;
        m_fleet.report_demand(index, m_account, reports_demand ? reported_weight : 0);
    }

    /// Spends all tokens that the instance has.
    void drain(std::size_t index) {
        while (m_fleet.spend(index, m_account, 1)) {
            m_highest_rate_reference.admit(1, m_fleet.now());
            if (m_current_rate_reference) {
                m_current_rate_reference->admit(1, m_fleet.now());
            }
            ++m_admitted;
        }
    }

    /// Applies a new rate to one instance after the other. The new rate is checked for all
    /// intervals that begin after the last instance has received it.
    void change_rate(unsigned amount) {
        if (!m_changes_rates) {
            return;
        }
        m_current_rate_reference.reset();
        const double changed = per_second * (amount % 3 + 1) * 2 / 3;
        const std::map<account_name, rate> rates{{m_account, {rate_name("r"), changed, changed}}};
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            m_fleet.set_rates(i, rates);
            advance(milliseconds(50) * (i % 3));
        }
        m_current_rate_reference.emplace(changed, changed, m_fleet.now());
        m_fleet.set_rates_of_new_instances(rates);
    }

    account_name m_account{"account"};
    simulated_fleet m_fleet;
    std::optional<std::size_t> m_hotspot; ///< the instance that alone reports demand, if any
    bool m_changes_rates;
    reference_bucket m_highest_rate_reference; ///< bucket with the highest configured rate
    std::optional<reference_bucket> m_current_rate_reference;
    double m_admitted = 0;
};

/// An incorrect holding, which still spends the loan parts that it has subleased to peers.
class double_spending_holding final : public leased_share_holding {
public:
    using leased_share_holding::leased_share_holding;

protected:
    [[nodiscard]] share_parts spendable(const account_name& account,
                                        clock::time_point now) const override {
        static_cast<void>(now);
        return held_parts(account);
    }
};

class share_invariant_test : public testing::Test {
protected:
    [[nodiscard]] static fleet_options faulty_options(std::uint64_t seed) {
        fleet_options options;
        options.seed = seed;
        options.zones = {zone_name("a"), zone_name("b")};
        options.slots_per_zone = 4;
        options.rates = {
            {account_name("account"),
             {rate_name("r"), fault_schedule::per_second, fault_schedule::per_second}}};
        // The floor lease is short enough to expire within a schedule, so that slots are reclaimed.
        options.lease = share_lease(seconds(40), seconds(10), seconds(4));
        options.detection_delay = seconds(1);
        options.loss_probability = 0.05;
        options.duplication_probability = 0.1;
        options.late_probability = 0.05;
        options.max_clock_drift = 0.0008;
        options.random_coordinators = true;
        return options;
    }

    [[nodiscard]] static fleet_options mild_fault_options(std::uint64_t seed) {
        fleet_options options = faulty_options(seed);
        options.loss_probability = 0;
        options.late_probability = 0;
        options.random_coordinators = false;
        return options;
    }

    [[nodiscard]] static std::vector<step> random_steps() {
        const auto numbers =
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
        return steps_from(numbers);
    }

    [[nodiscard]] static std::vector<step> steps_from(const std::vector<std::uint32_t>& numbers) {
        std::vector<step> steps;
        steps.reserve(numbers.size());
        for (const auto number : numbers) {
            steps.push_back({static_cast<fault>(number % fault_kinds), (number >> 8) & 0xff,
                             (number >> 16) & 0xff});
        }
        return steps;
    }

    /// Options with faults of a random strength: with few faults the shares are fully used, with
    /// many the leases expire.
    [[nodiscard]] static fleet_options random_options() {
        fleet_options options = faulty_options(*rc::gen::arbitrary<std::uint32_t>());
        const double strength = *rc::gen::element(0.0, 0.2, 1.0, 3.0);
        options.loss_probability *= strength;
        options.late_probability *= strength;
        options.random_coordinators = strength >= 1;
        return options;
    }

    /// Steps in which one instance after the other reports the whole demand.
    [[nodiscard]] static std::vector<step> moving_hotspot() {
        std::vector<step> steps;
        for (unsigned round = 0; round < 20; ++round) {
            steps.push_back({fault::hotspot, round, 200});
            steps.push_back({fault::run, 0, 20});
        }
        return steps;
    }

    /// Tolerance for rounding errors in sums of tokens.
    static constexpr double rounding_tolerance = 1e-6;
};

// Guards against combinations of faults in which the fleet admits more than the account's rate and
// burst.
RC_GTEST_FIXTURE_PROP(share_invariant_test, faults_never_cause_excess, ()) {
    fault_schedule schedule(random_options(), false);
    schedule.run(random_steps());
    RC_ASSERT(schedule.excess() <= rounding_tolerance);
}

// Guards against excess requests while a changed rate reaches one instance after the other, and
// against use of the old rate once all instances have the new one.
RC_GTEST_FIXTURE_PROP(share_invariant_test, changed_rates_never_cause_excess, ()) {
    fault_schedule schedule(random_options(), true);
    schedule.run(random_steps());
    RC_ASSERT(schedule.excess() <= rounding_tolerance);
}

// Guards against a stopping instance that returns loan parts which a peer still holds by sublease.
// The steps and the seed are those of the random test that found this fault.
TEST_F(share_invariant_test, stop_after_sublease_causes_no_excess) {
    fleet_options options = mild_fault_options(1882);
    options.loss_probability = 0.01;
    options.late_probability = 0.01;
    fault_schedule schedule(std::move(options), false);
    schedule.run(steps_from({232138273, 433046206}));
    EXPECT_LE(schedule.excess(), rounding_tolerance);
}

// Guards against a test harness that cannot detect excess: a holding that spends parts after
// subleasing them must be detected.
TEST_F(share_invariant_test, double_spending_policy_causes_excess) {
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet_options options = mild_fault_options(seed);
        options.make_holding = [lease = options.lease](const instance_id& id,
                                                       const zone_name& zone) {
            return std::make_unique<double_spending_holding>(id, zone, lease);
        };
        fault_schedule schedule(std::move(options), false);
        schedule.run(moving_hotspot());
        worst = std::max(worst, schedule.excess());
    }
    EXPECT_GT(worst, 1);
}

// Guards against a share policy that never exceeds the rate only because it refuses most requests.
TEST_F(share_invariant_test, fleet_with_mild_faults_admits_most_of_the_rate) {
    fault_schedule schedule(mild_fault_options(7), false);
    schedule.run(std::vector<step>(10, step{fault::long_run, 0, 60}));
    constexpr double total_seconds = 60 + 2.5 + 15;
    EXPECT_GT(schedule.admitted(), 0.8 * total_seconds * fault_schedule::per_second);
    EXPECT_LE(schedule.excess(), rounding_tolerance);
}

} // namespace
} // namespace oriole::contracts
