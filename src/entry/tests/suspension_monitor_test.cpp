#include "entry/internal/suspension_monitor.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class suspension_monitor_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    void run(clock::duration from, clock::duration until) {
        for (auto time = from; time <= until; time += suspension_monitor::turn_interval) {
            m_monitor.record_turn(at(time));
        }
    }

    suspension_monitor m_monitor;
};

// Guards against statements that are refused because a busy thread is late for a turn.
TEST_F(suspension_monitor_test, message_of_a_running_thread_has_not_waited) {
    EXPECT_EQ(m_monitor.unread_time(at(0s)), 0s);
    run(0s, 2s);
    EXPECT_EQ(m_monitor.unread_time(at(2s)), 0s);
    EXPECT_EQ(m_monitor.unread_time(at(2150ms)), 0s);
}

// Guards against a message from before a suspension that is taken for new, whether it is read
// before or after the first turn.
TEST_F(suspension_monitor_test, message_read_after_a_suspension_may_have_waited_for_all_of_it) {
    run(0s, 2s);
    EXPECT_EQ(m_monitor.unread_time(at(5s)), 3s);
    m_monitor.record_turn(at(5s));
    EXPECT_EQ(m_monitor.unread_time(at(5s)), 3s);
    EXPECT_EQ(m_monitor.unread_time(at(5100ms)), 3s);
}

// Guards against messages that are taken for old long after a suspension.
TEST_F(suspension_monitor_test, later_message_has_not_waited) {
    run(0s, 2s);
    run(5s, 6s);
    EXPECT_EQ(m_monitor.unread_time(at(6s)), 0s);
}

} // namespace
} // namespace oriole::entry
