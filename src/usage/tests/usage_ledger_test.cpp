#include "usage/usage_ledger.h"

#include <gtest/gtest.h>

namespace oriole::usage {
namespace {

class usage_ledger_test : public testing::Test {
protected:
    usage_ledger_test() { m_ledger.keep(10, 13); }

    static ledger_entry entry(const std::string& instance, account_counts counts,
                              std::uint64_t incarnation = 1, std::int64_t window = 11) {
        std::uint64_t total = 0;
        for (const auto& [account, count] : counts) {
            total += count;
        }
        return {{window, instance_id(instance), incarnation}, std::move(counts), total};
    }

    const account_name m_a{"a"};
    const account_name m_b{"b"};
    usage_ledger m_ledger;
};

// Guards against a message that is counted again when it is repeated or arrives out of order.
TEST_F(usage_ledger_test, repeated_and_older_copies_change_nothing) {
    m_ledger.merge(entry("x", {{m_a, 5}, {m_b, 2}}));
    m_ledger.merge(entry("x", {{m_a, 5}, {m_b, 2}}));
    m_ledger.merge(entry("x", {{m_a, 3}}));
    EXPECT_EQ(m_ledger.sum(11), (account_counts{{m_a, 5}, {m_b, 2}}));
}

// Guards against the loss of what an instance counted before its restart.
TEST_F(usage_ledger_test, incarnations_of_an_instance_add_up) {
    m_ledger.merge(entry("x", {{m_a, 5}}, 1));
    m_ledger.merge(entry("x", {{m_a, 2}}, 2));
    EXPECT_EQ(m_ledger.sum(11), (account_counts{{m_a, 7}}));
}

// Guards against memory that grows with every window, and with what others send.
TEST_F(usage_ledger_test, windows_outside_the_kept_ones_are_dropped_and_refused) {
    m_ledger.merge(entry("x", {{m_a, 5}}));
    m_ledger.keep(12, 15);
    EXPECT_EQ(m_ledger.merge(entry("x", {{m_a, 5}})), 0U);
    EXPECT_EQ(m_ledger.merge(entry("x", {{m_a, 5}}, 1, 16)), 0U);
    EXPECT_TRUE(m_ledger.totals(11).empty());
}

// Guards against exchanges that send everything each time, and against lost increments.
TEST_F(usage_ledger_test, only_entries_that_the_other_lacks_are_sent) {
    m_ledger.merge(entry("x", {{m_a, 5}}));
    m_ledger.merge(entry("y", {{m_a, 1}}));
    const auto before = m_ledger.totals(11);
    m_ledger.merge(entry("y", {{m_a, 2}}));
    EXPECT_EQ(m_ledger.missing_from(before, 11), (std::vector{entry("y", {{m_a, 2}})}));
    EXPECT_TRUE(m_ledger.missing_from(m_ledger.totals(11), 11).empty());
}

} // namespace
} // namespace oriole::usage
