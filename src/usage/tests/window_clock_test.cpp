#include "usage/window_clock.h"

#include <gtest/gtest.h>

namespace oriole::usage {
namespace {

using namespace std::chrono_literals;

class window_clock_test : public testing::Test {
protected:
    static constexpr clock::duration real_offset = 400'000h;

    /// Lets each clock, which deviates from true time by the given error, be read for `time`.
    void run(clock::duration time, const std::vector<clock::duration>& errors) {
        for (const auto end = m_now + time; m_now < end; m_now += 200ms) {
            const true_time real(m_now.time_since_epoch() + real_offset);
            m_clock.own_clock(real + errors.front(), m_now);
            for (std::size_t i = 1; i < errors.size(); ++i) {
                m_clock.peer_clock(instance_id("peer" + std::to_string(i)), real + errors[i],
                                   m_now - 1ms, m_now + 1ms);
            }
            m_clock.advance(m_now);
        }
    }

    [[nodiscard]] clock::duration error() const {
        return m_clock.at(m_now)->time_since_epoch() - m_now.time_since_epoch() - real_offset;
    }

    clock::time_point m_now{1h};
    window_clock m_clock{instance_id("own"), m_now};
};

// Guards against counts in another window, and windows of another number, after this machine's
// clock was set.
TEST_F(window_clock_test, step_of_own_clock_changes_nothing) {
    run(5s, {0s, 2ms, -3ms});
    run(60s, {47s, 2ms, -3ms});
    EXPECT_LT(std::chrono::abs(error()), 10ms);
}

// Guards against an instance that follows the stepped clocks of others.
TEST_F(window_clock_test, steps_of_minority_change_nothing) {
    run(5s, {0s, 0s, 0s, 0s, 0s});
    run(60s, {0s, 0s, 9s, 0s, -30s});
    EXPECT_LT(std::chrono::abs(error()), 10ms);
}

// Guards against a start with a wrong clock of its own, which would spoil the first windows.
TEST_F(window_clock_test, start_with_stepped_own_clock_uses_the_others) {
    run(1s, {12s, 0s, 1ms});
    EXPECT_LT(std::chrono::abs(error()), 10ms);
}

// Guards against an instance that has started alone with a wrong clock and keeps it for good.
TEST_F(window_clock_test, lasting_majority_corrects_the_first_clock) {
    run(5s, {12s});
    run(2s, {12s, 0s, 0s});
    EXPECT_GT(error(), 11s);
    run(3s, {12s, 0s, 0s});
    EXPECT_LT(std::chrono::abs(error()), 10ms);
}

// Guards against a choice between two clocks of which one was set.
TEST_F(window_clock_test, one_of_two_clocks_that_steps_changes_nothing) {
    run(5s, {0s, 0s});
    run(30s, {20s, 0s});
    EXPECT_LT(std::chrono::abs(error()), 10ms);
}

// Guards against an only instance that never reports, or whose windows follow steps of its clock.
TEST_F(window_clock_test, single_clock_is_believed_after_a_wait_and_its_steps_are_ignored) {
    run(1s, {0s});
    EXPECT_FALSE(m_clock.at(m_now));
    run(3s, {0s});
    run(30s, {20s});
    EXPECT_LT(std::chrono::abs(error()), 10ms);
}

// Guards against windows that drift away from true time with the boot clock.
TEST_F(window_clock_test, small_deviation_is_followed_slowly) {
    run(5s, {0s, 0s, 0s});
    run(2s, {60ms, 60ms, 60ms});
    EXPECT_LT(error(), 20ms);
    run(30s, {60ms, 60ms, 60ms});
    EXPECT_GT(error(), 50ms);
}

// Guards against an offset that is wrong by the time that an answer took.
TEST_F(window_clock_test, answer_after_long_round_trip_is_not_used) {
    m_clock.peer_clock(instance_id("peer"), true_time(real_offset), m_now, m_now + 1s);
    m_clock.advance(m_now + 5s);
    EXPECT_FALSE(m_clock.at(m_now));
}

} // namespace
} // namespace oriole::usage
