#include "usage/delivery_record.h"

#include "usage/usage_ledger.h"

#include <gtest/gtest.h>

namespace oriole::usage {
namespace {

class delivery_record_test : public testing::Test {
protected:
    delivery_record_test() {
        m_own.keep(1, 9);
        m_collector.keep(1, 9);
    }

    /// Sends what is not acknowledged, and returns it.
    std::vector<ledger_entry> deliver() {
        auto sent = m_record.unacknowledged(m_own.entries({m_key}));
        counts_receipt receipt;
        for (const auto& entry : sent) {
            receipt.totals[entry.key] = m_collector.merge(entry);
        }
        m_record.acknowledge(sent, receipt, 1);
        return sent;
    }

    const entry_key m_key{5, instance_id("own"), 1};
    const account_name m_a{"a"};
    const account_name m_b{"b"};
    usage_ledger m_own;
    usage_ledger m_collector;
    delivery_record m_record;
};

// Guards against messages that grow with the number of accounts instead of with the traffic.
TEST_F(delivery_record_test, only_changed_accounts_are_sent) {
    m_own.add(m_key, m_a, 4);
    m_own.add(m_key, m_b, 1);
    deliver();
    m_own.add(m_key, m_b, 1);
    EXPECT_EQ(deliver(), (std::vector<ledger_entry>{{m_key, {{m_b, 2}}, 6}}));
    EXPECT_TRUE(deliver().empty());
    EXPECT_EQ(m_collector.sum(5), m_own.sum(5));
}

// Guards against counts that stay lost when a collector has restarted.
TEST_F(delivery_record_test, collector_that_lost_counts_gets_all_again) {
    m_own.add(m_key, m_a, 4);
    deliver();
    m_collector = {};
    m_collector.keep(1, 9);
    m_own.add(m_key, m_b, 1);
    deliver();
    deliver();
    EXPECT_EQ(m_collector.sum(5), m_own.sum(5));
}

} // namespace
} // namespace oriole::usage
