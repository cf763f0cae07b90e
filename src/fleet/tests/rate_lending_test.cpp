#include "fleet/rate_lending.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double rate_tolerance = 1e-6;

/// Simulates instances that lend fractions of rates to one another, with messages that may be lost.
class rate_lending_test : public testing::Test {
protected:
    struct instance_under_test {
        registered_instance listed;
        rate_lending rates;
    };

    rate_lending_test() { add_zones({3, 3, 2}); }

    void add_zones(const std::vector<int>& sizes) {
        m_instances.clear();
        for (std::size_t zone = 0; zone < sizes.size(); ++zone) {
            for (int i = 0; i < sizes[zone]; ++i) {
                registered_instance listed;
                listed.zone = zone_name("z" + std::to_string(zone));
                listed.id = instance_id(listed.zone.str() + "-" + std::to_string(i));
                m_instances.push_back({listed, rate_lending(listed)});
            }
        }
        apply_roles(0s);
    }

    /// Assigns roles to all instances, from the same list of live instances.
    void apply_roles(clock::duration time) {
        for (auto& instance : m_instances) {
            std::vector<registered_instance> others;
            for (const auto& other : m_instances) {
                if (other.listed.id != instance.listed.id) {
                    others.push_back(other.listed);
                }
            }
            const auto roles =
                assign_roles(instance.listed, others, {}, primary_leasing::not_needed);
            instance.rates.set_roles(roles, m_instances.size(), at(time));
            m_coordinator = roles.rates.at(static_cast<std::size_t>(group())).coordinator;
        }
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    int group() const { return rate_group_of(m_account.name); }

    /// `coordinator` sends a loan request to `owner` at `asked`; the owner gets it at `received`.
    void exchange(instance_under_test& coordinator, instance_under_test& owner,
                  clock::duration asked, clock::duration received, bool response_lost = false) {
        const auto lent = owner.rates.lend(coordinator.listed.id,
                                           coordinator.rates.coordinated_groups(), at(received));
        if (!response_lost) {
            coordinator.rates.record_loans(owner.listed.id, lent, at(asked));
        }
    }

    void exchange_all(clock::duration time) {
        for (auto& coordinator : m_instances) {
            for (auto& owner : m_instances) {
                if (coordinator.listed.id != owner.listed.id) {
                    exchange(coordinator, owner, time, time);
                }
            }
        }
    }

    double rate_of(const instance_under_test& instance, clock::duration time) const {
        return instance.rates.share_of(m_account, at(time)).operations_per_s;
    }

    double total_rate(clock::duration time) const {
        double rate = 0;
        for (const auto& instance : m_instances) {
            rate += rate_of(instance, time);
        }
        return rate;
    }

    instance_under_test& find(const instance_id& id) {
        return *std::find_if(m_instances.begin(), m_instances.end(),
                             [&id](const auto& known) { return known.listed.id == id; });
    }

    account m_account{account_name("t"), {}, 100, 50};
    std::vector<instance_under_test> m_instances;
    instance_id m_coordinator;
};

// Guards against an account whose operations are refused in one zone while another zone leaves its
// fraction of the rate unused.
TEST_F(rate_lending_test, coordinator_has_the_whole_rate_while_all_owners_lend) {
    exchange_all(3s);
    EXPECT_NEAR(rate_of(find(m_coordinator), 3s), 100, rate_tolerance);
    EXPECT_NEAR(total_rate(3s), 100, rate_tolerance);
}

// Guards against a partition that refuses connections, on whose two sides an account gets its whole
// rate, because each side takes the other's instances for ended.
TEST_F(rate_lending_test, sides_that_refuse_each_other_admit_one_rate_together) {
    exchange_all(3s);
    for (std::size_t size = 1; size < m_instances.size(); ++size) {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            std::vector<registered_instance> own_side;
            std::vector<registered_instance> other_side;
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                const bool same_side = (i < size) == (other < size);
                if (other != i) {
                    (same_side ? own_side : other_side).push_back(m_instances[other].listed);
                }
            }
            const auto roles = assign_roles(m_instances[i].listed, own_side, {},
                                            primary_leasing::not_needed, other_side);
            m_instances[i].rates.set_roles(roles, m_instances.size(), at(4s));
        }
        for (const auto time : {4s, 5s, 6s, 9s}) {
            EXPECT_LE(total_rate(time), 100 + rate_tolerance);
        }
        EXPECT_NEAR(total_rate(9s), 100, rate_tolerance);
    }
}

// Guards against an owner that is cut off from the coordinator and refuses all its callers.
TEST_F(rate_lending_test, unreachable_owner_regains_its_fraction_after_the_loan) {
    exchange_all(3s);
    auto& owner =
        m_instances.front().listed.id == m_coordinator ? m_instances.back() : m_instances.front();
    EXPECT_EQ(rate_of(owner, 5s), 0);
    EXPECT_GT(rate_of(owner, 6s), 100.0 / 10);
}

// Guards against a restarted instance that uses its fraction while a loan by its previous process
// still runs.
TEST_F(rate_lending_test, new_owner_admits_nothing_until_earlier_loans_have_expired) {
    for (const auto& instance : m_instances) {
        EXPECT_TRUE(instance.listed.id == m_coordinator || rate_of(instance, 2s) == 0);
    }
    EXPECT_NEAR(total_rate(3s), 100, rate_tolerance);
}

// Guards against refused operations until a loan expires whose coordinator has stopped or lost its
// role.
TEST_F(rate_lending_test, released_fraction_can_be_lent_to_the_next_coordinator_at_once) {
    auto& owner =
        find(m_coordinator).listed.id == m_instances[0].listed.id ? m_instances[1] : m_instances[0];
    ASSERT_TRUE(owner.rates.lend(m_coordinator, {group()}, at(3s)).contains(group()));
    owner.rates.release_loans(m_coordinator, {});
    EXPECT_TRUE(owner.rates.lend(instance_id("other"), {group()}, at(3s)).contains(group()));
}

// Guards against two coordinators that use the same fraction after the list of instances changed.
TEST_F(rate_lending_test, fraction_is_not_lent_twice) {
    auto& owner =
        find(m_coordinator).listed.id == m_instances[0].listed.id ? m_instances[1] : m_instances[0];
    EXPECT_TRUE(owner.rates.lend(m_coordinator, {group()}, at(3s)).contains(group()));
    EXPECT_FALSE(owner.rates.lend(instance_id("other"), {group()}, at(4s)).contains(group()));
    EXPECT_TRUE(owner.rates.lend(instance_id("other"), {group()}, at(6s)).contains(group()));
}

// Guards against instances of a large zone that own no fraction and refuse every operation when
// they are cut off.
TEST_F(rate_lending_test, instance_without_a_fraction_has_a_reserved_rate) {
    add_zones({25, 25});
    exchange_all(3s);
    EXPECT_LE(total_rate(3s), 100 + rate_tolerance);
    for (const auto& instance : m_instances) {
        EXPECT_GT(rate_of(instance, 3s) + rate_of(instance, 9s), 0);
    }
}

// Guards against fractions in use that add up to more than the rate when responses are lost,
// requests take seconds to arrive, or coordinators stop renewing their loans.
RC_GTEST_FIXTURE_PROP(rate_lending_test, fractions_in_use_never_exceed_the_rate, ()) {
    add_zones(*rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 6)));
    clock::duration time = 0s;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        time += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        const bool current_coordinator = *rc::gen::arbitrary<bool>();
        auto& coordinator = current_coordinator ? find(m_coordinator) : m_instances.back();
        auto& owner = m_instances[*rc::gen::inRange<std::size_t>(0, m_instances.size())];
        if (coordinator.listed.id == owner.listed.id) {
            continue;
        }
        const auto delay = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        exchange(coordinator, owner, time - delay, time, *rc::gen::arbitrary<bool>());
        RC_ASSERT(total_rate(time) <= 100 + rate_tolerance);
    }
}

} // namespace
} // namespace oriole::fleet
