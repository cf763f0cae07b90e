#include "fleet/rate_lending.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double rounding = 1e-6;

/// Instances that lend to one another, with messages that may be lost.
class rate_lending_test : public testing::Test {
protected:
    struct instance_under_test {
        listed_instance listed;
        rate_lending rates;
    };

    rate_lending_test() { add_zones({3, 3, 2}); }

    void add_zones(const std::vector<int>& sizes) {
        m_instances.clear();
        for (std::size_t zone = 0; zone < sizes.size(); ++zone) {
            for (int i = 0; i < sizes[zone]; ++i) {
                listed_instance listed;
                listed.zone = zone_name("z" + std::to_string(zone));
                listed.id = instance_id(listed.zone.str() + "-" + std::to_string(i));
                m_instances.push_back({listed, rate_lending(listed)});
            }
        }
        apply_roles(0s);
    }

    /// All instances see the same list.
    void apply_roles(clock::duration time) {
        for (auto& instance : m_instances) {
            std::vector<listed_instance> others;
            for (const auto& other : m_instances) {
                if (other.listed.id != instance.listed.id) {
                    others.push_back(other.listed);
                }
            }
            const auto roles = assign_roles(instance.listed, others, {});
            instance.rates.set_roles(roles, m_instances.size(), at(time));
            m_keeper = roles.rates.at(static_cast<std::size_t>(group())).keeper;
        }
    }

    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    int group() const { return rate_group_of(m_account.name); }

    /// `keeper` asks `holder` at `asked`; the question arrives at `arrives`.
    void exchange(instance_under_test& keeper, instance_under_test& holder, clock::duration asked,
                  clock::duration arrives, bool answer_lost = false) {
        const auto lent =
            holder.rates.lend(keeper.listed.id, keeper.rates.kept_groups(), at(arrives));
        if (!answer_lost) {
            keeper.rates.borrowed(holder.listed.id, lent, at(asked));
        }
    }

    void exchange_all(clock::duration time) {
        for (auto& keeper : m_instances) {
            for (auto& holder : m_instances) {
                if (keeper.listed.id != holder.listed.id) {
                    exchange(keeper, holder, time, time);
                }
            }
        }
    }

    double rate_of(const instance_under_test& instance, clock::duration time) const {
        return instance.rates.share_of(m_account, at(time)).operations_per_s;
    }

    double sum(clock::duration time) const {
        double sum = 0;
        for (const auto& instance : m_instances) {
            sum += rate_of(instance, time);
        }
        return sum;
    }

    instance_under_test& find(const instance_id& id) {
        return *std::find_if(m_instances.begin(), m_instances.end(),
                             [&id](const auto& known) { return known.listed.id == id; });
    }

    account m_account{account_name("t"), {}, 100, 50};
    std::vector<instance_under_test> m_instances;
    instance_id m_keeper;
};

// Guards against an account that is refused in one zone while its rate lies idle in another.
TEST_F(rate_lending_test, keeper_has_the_whole_rate_while_all_lend) {
    exchange_all(3s);
    EXPECT_NEAR(rate_of(find(m_keeper), 3s), 100, rounding);
    EXPECT_NEAR(sum(3s), 100, rounding);
}

// Guards against a holder that is cut off and refuses all its callers.
TEST_F(rate_lending_test, holder_out_of_reach_has_its_part_back_after_the_loan) {
    exchange_all(3s);
    auto& holder =
        m_instances.front().listed.id == m_keeper ? m_instances.back() : m_instances.front();
    EXPECT_EQ(rate_of(holder, 5s), 0);
    EXPECT_GT(rate_of(holder, 6s), 100.0 / 10);
}

// Guards against a process that spends a part which the one before it has lent.
TEST_F(rate_lending_test, new_holder_spends_nothing_until_earlier_loans_have_ended) {
    for (const auto& instance : m_instances) {
        EXPECT_TRUE(instance.listed.id == m_keeper || rate_of(instance, 2s) == 0);
    }
    EXPECT_NEAR(sum(3s), 100, rounding);
}

// Guards against refusals for the rest of a loan whose keeper has ended or lost its role.
TEST_F(rate_lending_test, released_part_is_lent_to_the_next_keeper_at_once) {
    auto& holder =
        find(m_keeper).listed.id == m_instances[0].listed.id ? m_instances[1] : m_instances[0];
    ASSERT_TRUE(holder.rates.lend(m_keeper, {group()}, at(3s)).contains(group()));
    holder.rates.released(m_keeper, {});
    EXPECT_TRUE(holder.rates.lend(instance_id("other"), {group()}, at(3s)).contains(group()));
}

// Guards against two keepers that count with the same part after the list of instances changed.
TEST_F(rate_lending_test, part_is_not_lent_twice) {
    auto& holder =
        find(m_keeper).listed.id == m_instances[0].listed.id ? m_instances[1] : m_instances[0];
    EXPECT_TRUE(holder.rates.lend(m_keeper, {group()}, at(3s)).contains(group()));
    EXPECT_FALSE(holder.rates.lend(instance_id("other"), {group()}, at(4s)).contains(group()));
    EXPECT_TRUE(holder.rates.lend(instance_id("other"), {group()}, at(6s)).contains(group()));
}

// Guards against instances of a large zone that are cut off alone and refuse every operation.
TEST_F(rate_lending_test, instance_without_a_part_has_a_reserve) {
    add_zones({25, 25});
    exchange_all(3s);
    EXPECT_LE(sum(3s), 100 + rounding);
    for (const auto& instance : m_instances) {
        EXPECT_GT(rate_of(instance, 3s) + rate_of(instance, 9s), 0);
    }
}

// Guards against parts that add up to more than the rate: lost answers, questions that are seconds
// on their way, and instances that stop asking.
RC_GTEST_FIXTURE_PROP(rate_lending_test, parts_never_exceed_the_rate, ()) {
    add_zones(*rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 6)));
    clock::duration time = 0s;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        time += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        const bool right_one = *rc::gen::arbitrary<bool>();
        auto& keeper = right_one ? find(m_keeper) : m_instances.back();
        auto& holder = m_instances[*rc::gen::inRange<std::size_t>(0, m_instances.size())];
        if (keeper.listed.id == holder.listed.id) {
            continue;
        }
        const auto delay = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        exchange(keeper, holder, time - delay, time, *rc::gen::arbitrary<bool>());
        RC_ASSERT(sum(time) <= 100 + rounding);
    }
}

} // namespace
} // namespace oriole::fleet
