#include "usage/own_counts.h"

#include "usage/run_counter.h"

#include <gtest/gtest.h>

namespace oriole::usage {
namespace {

using namespace std::chrono_literals;

class own_counts_test : public testing::Test {
protected:
    own_counts_test() { m_ledger.keep(0, 1'000'000'000); }

    /// Makes the boot clock's time `m_started` equal to 1,000 s after the start of 1970.
    void establish_time() {
        m_time.own_clock(true_time(1000s), m_started);
        m_time.advance(m_started + window_clock::establishment_limit);
    }

    const account_name m_a{"a"};
    const clock::time_point m_started{77h};
    std::unique_ptr<run_counter> m_counter = make_run_counter();
    own_counts m_counts{instance_id("own"), 1, 5s};
    window_clock m_time{instance_id("own"), m_started};
    usage_ledger m_ledger;
};

// Guards against counts in the window in which an answer came, or the control thread saw it.
TEST_F(own_counts_test, operation_counts_in_the_window_in_which_it_began) {
    establish_time();
    m_counter->count(m_a, m_started + 4990ms);
    m_counter->count(m_a, m_started + 4990ms);
    m_counter->count(m_a, m_started + 5s);
    m_counts.add(m_counter->take());
    m_counts.place(m_time, m_ledger);
    EXPECT_EQ(m_ledger.sum(200), (account_counts{{m_a, 2}}));
    EXPECT_EQ(m_ledger.sum(201), (account_counts{{m_a, 1}}));
}

// Guards against the loss of what an instance counts before it knows true time.
TEST_F(own_counts_test, counts_wait_until_true_time_is_known) {
    m_counter->count(m_a, m_started);
    m_counts.add(m_counter->take());
    m_counts.place(m_time, m_ledger);
    establish_time();
    m_counts.place(m_time, m_ledger);
    m_counts.place(m_time, m_ledger);
    EXPECT_EQ(m_ledger.sum(200), (account_counts{{m_a, 1}}));
}

// Guards against reports under an empty account name, which no account has.
TEST_F(own_counts_test, operations_without_account_are_not_counted) {
    m_counter->count(account_name(), m_started);
    EXPECT_TRUE(m_counter->take().empty());
}

} // namespace
} // namespace oriole::usage
