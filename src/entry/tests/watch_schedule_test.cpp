#include "entry/internal/watch_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class watch_schedule_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    watch_schedule m_schedule{1500ms, 3, at(0s)};
};

// Guards against a silence of all connections that is noticed late, because all watches end at the
// same time.
TEST_F(watch_schedule_test, one_watch_ends_in_each_interval) {
    std::vector<clock::time_point> ends;
    for (int watch = 0; watch < 3; ++watch) {
        auto now = at(watch * 70ms);
        for (int round = 0; round < 4; ++round) {
            now += m_schedule.wait(watch, now);
            ends.push_back(now);
        }
    }
    std::sort(ends.begin(), ends.end());
    for (std::size_t i = 1; i < ends.size(); ++i) {
        EXPECT_EQ(ends[i] - ends[i - 1], 1500ms);
    }
}

// Guards against a watch that drifts out of its place in the schedule after an early answer.
TEST_F(watch_schedule_test, watch_that_was_answered_early_ends_at_its_time) {
    EXPECT_EQ(m_schedule.wait(0, at(1s)), 3500ms);
    EXPECT_EQ(m_schedule.wait(1, at(1s)), 500ms);
    EXPECT_EQ(m_schedule.wait(2, at(1s)), 2s);
}

// Guards against calls that hardly wait.
TEST_F(watch_schedule_test, watch_just_before_its_time_waits_for_a_minimum) {
    EXPECT_EQ(m_schedule.wait(0, at(4499ms)), 50ms);
}

} // namespace
} // namespace oriole::entry
