#include "app/internal/audit_trail.h"

#include <gtest/gtest.h>

namespace oriole::app {
namespace {

using machines::promotion_state;

class audit_trail_test : public testing::Test {
protected:
    void SetUp() override {
        m_digest.database = m_database;
        m_digest.primary = server_name{"s1"};
        m_digest.term = 1;
        EXPECT_TRUE(observe().empty());
    }

    [[nodiscard]] std::vector<contracts::audit_entry> observe() {
        return m_trail.observe({{m_digest}, m_timelines, 5, {}});
    }

    void add_promotion(promotion_state state) {
        machines::promotion_timeline timeline;
        timeline.database = m_database;
        timeline.reason = "primary silent";
        timeline.term = 2;
        timeline.primary = server_name{"s2"};
        timeline.milestones = {{state, std::chrono::milliseconds(90)}};
        m_timelines = {timeline};
    }

    database_name m_database{"db-1"};
    machines::database_digest m_digest;
    std::vector<machines::promotion_timeline> m_timelines;
    audit_trail m_trail{instance_id{"i1"}};
};

// Guards against an audit entry that names the new primary as the previous one, and against a
// second entry for the same promotion.
TEST_F(audit_trail_test, ended_promotion_is_recorded_once_with_the_primary_before) {
    add_promotion(promotion_state::redirecting);
    m_digest.primary = server_name{"s2"};
    m_digest.term = 2;
    EXPECT_TRUE(observe().empty());
    add_promotion(promotion_state::done);
    const auto found = observe();
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].object(), "database/db-1");
    EXPECT_EQ(found[0].from(), "primary s1 term 1");
    EXPECT_EQ(found[0].to(), "primary s2 term 2");
    EXPECT_EQ(found[0].actor(), "i1");
    EXPECT_EQ(found[0].generation(), 5U);
    EXPECT_NE(found[0].reason().find("primary silent"), std::string::npos);
    EXPECT_TRUE(observe().empty());
}

// Guards against recording a failed promotion as a change of primary.
TEST_F(audit_trail_test, failed_promotion_keeps_the_primary) {
    add_promotion(promotion_state::failed);
    const auto found = observe();
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].to(), found[0].from());
}

// Guards against a planned switchover without an audit entry, and against two entries for one.
TEST_F(audit_trail_test, switchover_is_recorded_whether_abandoned_or_completed) {
    m_digest.writes_held = true;
    EXPECT_TRUE(observe().empty());
    m_digest.writes_held = false;
    EXPECT_EQ(observe().size(), 1U);
    m_digest.writes_held = true;
    add_promotion(promotion_state::fencing);
    EXPECT_TRUE(observe().empty());
    add_promotion(promotion_state::done);
    m_digest.writes_held = false;
    EXPECT_EQ(observe().size(), 1U);
}

} // namespace
} // namespace oriole::app
