#include "platform/instance_list.h"

#include <gtest/gtest.h>

namespace oriole::standins {
namespace {

using std::chrono::seconds;

class instance_list_test : public testing::Test {
protected:
    instance_list m_list{seconds(5)};
    clock::time_point m_start{seconds(100)};
    registered_instance m_entry{"{}", endpoint("127.0.0.1", 1)};
};

// Guards against a list without lag, with which tests would not detect callers that rely on a
// current list.
TEST_F(instance_list_test, change_is_visible_after_lag) {
    m_list.put("i1", m_entry, m_start);
    EXPECT_TRUE(m_list.visible_entries(m_start + seconds(4)).empty());
    EXPECT_EQ(m_list.visible_entries(m_start + seconds(5)).size(), 1U);
    m_list.remove("i1", m_start + seconds(6));
    EXPECT_EQ(m_list.visible_entries(m_start + seconds(10)).size(), 1U);
    EXPECT_TRUE(m_list.visible_entries(m_start + seconds(11)).empty());
}

// Guards against instances that stay listed after a crash, or are removed after fewer than three
// consecutive failed probes.
TEST_F(instance_list_test, failed_probes_in_a_row_remove_instance) {
    m_list.put("i1", m_entry, m_start);
    m_list.record_probe("i1", false, m_start);
    m_list.record_probe("i1", false, m_start);
    m_list.record_probe("i1", true, m_start);
    m_list.record_probe("i1", false, m_start);
    m_list.record_probe("i1", false, m_start);
    EXPECT_EQ(m_list.current_entries().size(), 1U);
    m_list.record_probe("i1", false, m_start);
    EXPECT_TRUE(m_list.current_entries().empty());
}

// Guards against an ended instance that stays listed because its successor answers probes at the
// same endpoint.
TEST_F(instance_list_test, successor_at_same_address_replaces_instance) {
    m_list.put("i1", m_entry, m_start);
    m_list.put("i2", m_entry, m_start);
    EXPECT_EQ(m_list.current_entries().size(), 1U);
    EXPECT_EQ(m_list.current_entries().count("i2"), 1U);
}

} // namespace
} // namespace oriole::standins
