#include "platform/platform_store.h"

#include <gtest/gtest.h>

namespace oriole::standins {
namespace {

class platform_store_test : public testing::Test {
protected:
    platform_store m_store;
};

// Guards against a store that accepts both of two conflicting updates.
TEST_F(platform_store_test, second_put_with_same_version_conflicts) {
    EXPECT_EQ(m_store.put("config/head", "a", 0, "op-1"), (put_result{put_status::stored, 1}));
    EXPECT_EQ(m_store.put("config/head", "b", 0, "op-2"), (put_result{put_status::conflict, 1}));
    EXPECT_EQ(m_store.find("config/head")->operation, "op-1");
}

// Guards against watches that report objects outside their prefix or changes already reported.
TEST_F(platform_store_test, changes_are_limited_by_prefix_and_revision) {
    m_store.put("config/head", "a", 0, "");
    m_store.put("configure", "a", 0, "");
    const auto seen = m_store.revision();
    m_store.put("config/head", "b", 1, "");
    m_store.put("zone", "a", 0, "");
    EXPECT_EQ(m_store.changes_after("config/", seen),
              (std::vector<platform_change>{{"config/head", 2}}));
}

// Guards against a store that accepts values above the platform's size limit.
TEST_F(platform_store_test, value_over_limit_is_refused) {
    const std::string value(max_object_bytes + 1, 'x');
    EXPECT_EQ(m_store.put("big", value, 0, "").status, put_status::too_large);
    EXPECT_FALSE(m_store.find("big").has_value());
}

} // namespace
} // namespace oriole::standins
