#include "contracts/usage_meter.h"

#include "contracts/contracts_module.h"

#include <gtest/gtest.h>

namespace oriole::contracts {
namespace {

using std::chrono::seconds;

class usage_meter_test : public testing::Test {
protected:
    [[nodiscard]] static clock::time_point at(int second) {
        return clock::time_point(seconds(second));
    }

    void serve(int requests, double weight) {
        for (int i = 0; i < requests; ++i) {
            m_counter->count(m_key, weight);
        }
        m_meter->merge(m_counter->take());
    }

    usage_key m_key{account_name{"a"}, service_name{"s"}, access_mode::write};
    std::unique_ptr<usage_counter> m_counter = contracts_module::make_usage_counter();
    std::unique_ptr<usage_meter> m_meter =
        contracts_module::make_usage_meter(instance_id{"instance-1"});
};

// Guards against requests that are counted twice when a record is written again, and against
// requests that are lost when a write fails.
TEST_F(usage_meter_test, unstored_record_is_contained_in_the_next) {
    serve(3, 2.0);
    const auto first = m_meter->due_record(at(0));
    ASSERT_TRUE(first.has_value());
    serve(1, 2.0);
    const auto second = m_meter->due_record(at(10));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->totals().at(m_key), usage_amount(4, 8.0));
    EXPECT_TRUE(is_newer(*second, *first));
    EXPECT_FALSE(is_newer(*first, *second));
}

// Guards against usage writes that become more frequent with more requests, or that continue when
// nothing has changed.
TEST_F(usage_meter_test, writes_are_bounded_and_stop_when_all_is_stored) {
    serve(1, 1.0);
    const auto first = m_meter->due_record(at(0));
    serve(1, 1.0);
    EXPECT_FALSE(m_meter->due_record(at(9)).has_value());
    const auto second = m_meter->due_record(at(10));
    ASSERT_TRUE(first && second);
    m_meter->stored(second->sequence());
    m_meter->stored(first->sequence());
    EXPECT_FALSE(m_meter->due_record(at(30)).has_value());
}

// Guards against records that exceed the platform's size limit, and against lost counts.
TEST_F(usage_meter_test, full_table_counts_further_services_together) {
    constexpr std::size_t services = usage_meter::max_rows + 10;
    for (std::size_t i = 0; i < services; ++i) {
        m_counter->count({account_name{"a"}, service_name{std::to_string(i)}, access_mode::read},
                         1.0);
    }
    m_meter->merge(m_counter->take());
    const auto record = m_meter->final_record();
    EXPECT_EQ(record.totals().size(), usage_meter::max_rows + 1);
    const usage_key rest(account_name{"a"}, service_name{}, access_mode::read);
    EXPECT_EQ(record.totals().at(rest).requests(), 10U);
}

} // namespace
} // namespace oriole::contracts
