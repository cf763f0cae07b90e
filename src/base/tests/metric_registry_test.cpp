#include "base/metric_registry.h"

#include <gtest/gtest.h>

namespace oriole {
namespace {

class metric_registry_test : public testing::Test {
protected:
    metric_registry m_registry;
};

// Guards against resetting a counter when a second component looks up the same name.
TEST_F(metric_registry_test, same_name_returns_same_metric) {
    m_registry.get("requests_total").add(2);
    m_registry.get("requests_total").add(3);
    EXPECT_EQ(m_registry.get("requests_total").value(), 5);
}

// Guards against an exposition without one line per metric, which a scraper could not parse.
TEST_F(metric_registry_test, exposition_has_one_line_per_metric) {
    m_registry.get("b").set(-1);
    m_registry.get("a{zone=\"x\"}").add();
    EXPECT_EQ(m_registry.exposition(), "a{zone=\"x\"} 1\nb -1\n");
}

} // namespace
} // namespace oriole
