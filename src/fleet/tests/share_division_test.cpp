#include "fleet/share_division.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::fleet {
namespace {

/// Beyond the rate, in operations per second: rounding only.
constexpr double rounding = 1e-6;

class share_division_test : public testing::Test {
protected:
    share_division_test() {
        m_account.name = account_name("a");
        m_account.operations_per_s = 100;
        m_account.burst = 100;
        for (int i = 0; i < 4; ++i) {
            add_instance();
        }
        list_all();
    }

    void add_instance() {
        listed_instance instance;
        instance.id = instance_id("i" + std::to_string(m_listed.size()));
        instance.incarnation = 1;
        m_listed.push_back(instance);
        m_divisions.push_back(make_share_division(instance));
    }

    void list_all() {
        for (std::size_t i = 0; i < m_listed.size(); ++i) {
            auto peers = m_listed;
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
            m_divisions[i]->set_peers(peers);
        }
    }

    void restart(std::size_t which) {
        ++m_listed[which].incarnation;
        m_divisions[which] = make_share_division(m_listed[which]);
        list_all();
    }

    void demand(std::size_t which, double value) {
        m_divisions[which]->set_demand({{m_account.name, value}});
    }

    /// `from` reports to `to`; the confirmation may be lost.
    void report(std::size_t from, std::size_t to, bool delivered = true, bool confirmed = true) {
        const auto report = m_divisions[from]->report_for(m_listed[to].id);
        if (!delivered || !m_divisions[to]->take(report) || !confirmed) {
            return;
        }
        m_divisions[from]->confirm(m_listed[to].id, report.number);
    }

    void report_all(std::size_t without = 100) {
        for (std::size_t from = 0; from < m_divisions.size(); ++from) {
            for (std::size_t to = 0; to < m_divisions.size(); ++to) {
                if (from != to) {
                    report(from, to, from != without && to != without);
                }
            }
        }
    }

    double rate_of(std::size_t which) const {
        return m_divisions[which]->share_of(m_account).operations_per_s;
    }

    double sum() const {
        double sum = 0;
        for (std::size_t i = 0; i < m_divisions.size(); ++i) {
            sum += rate_of(i);
        }
        return sum;
    }

    account m_account;
    std::vector<listed_instance> m_listed;
    std::vector<std::unique_ptr<share_division>> m_divisions;
};

// Guards against refusals in the first second, before any demand is known.
TEST_F(share_division_test, idle_fleet_divides_evenly) {
    report_all();
    EXPECT_NEAR(rate_of(0), 25, rounding);
    EXPECT_NEAR(sum(), 100, rounding);
}

// Guards against an account that is refused where its callers are while others have rate to spare.
TEST_F(share_division_test, confirmed_demand_moves_the_rate_to_it) {
    report_all();
    demand(0, 60);
    report_all();
    EXPECT_GT(rate_of(0), 65);
    EXPECT_LE(sum(), 100 + rounding);
}

// Guards against a rise that the others do not know yet.
TEST_F(share_division_test, unconfirmed_demand_raises_nothing) {
    report_all();
    demand(0, 60);
    report(0, 1);
    report(0, 2, true, false);
    EXPECT_NEAR(rate_of(0), 25, rounding);
}

// Guards against 5% of the rates left in use after a restart of all beside a dead one's entry.
TEST_F(share_division_test, instance_that_never_answers_leaves_an_even_division) {
    constexpr std::size_t dead = 3;
    for (std::size_t i = 0; i < 4; ++i) {
        demand(i, 40);
    }
    for (int round = 0; round < 4; ++round) {
        report_all(dead);
    }
    EXPECT_NEAR(rate_of(0), 25, 1);
    EXPECT_NEAR(rate_of(1), 25, 1);
}

// Guards against a rate that is exceeded whatever messages are lost and whoever starts anew.
RC_GTEST_FIXTURE_PROP(share_division_test, parts_never_add_up_to_more_than_the_rate, ()) {
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(0, 100)));
    for (const auto& [action, which, value] : steps) {
        const auto from = static_cast<std::size_t>(which);
        const auto to = (from + 1 + static_cast<std::size_t>(value) % 3) % 4;
        if (action == 0) {
            demand(from, value);
        } else if (action == 1 && value < 20) {
            restart(from);
        } else if (action < 4) {
            report(from, to);
        } else {
            report(from, to, action == 4, false);
        }
        RC_ASSERT(sum() <= 100 + rounding);
    }
}

} // namespace
} // namespace oriole::fleet
