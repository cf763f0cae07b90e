#include "scheduling/server_health.h"

#include <gtest/gtest.h>

namespace oriole::scheduling {
namespace {

using namespace std::chrono_literals;

class server_health_test : public testing::Test {
protected:
    void record(int good, int bad) {
        for (int i = 0; i < good; ++i) {
            m_health.record_good(m_now);
        }
        for (int i = 0; i < bad; ++i) {
            m_health.record_bad(ejection_reason::failures, m_now);
        }
    }

    /// Waits for the next probe for at most 3 s. Returns whether there was one.
    bool await_probe() {
        for (int step = 0; step < 300; ++step, m_now += 10ms) {
            if (m_health.take_probe(m_now)) {
                return true;
            }
        }
        return false;
    }

    clock::time_point m_now{1h};
    std::unique_ptr<random_source> m_random = make_random_source(3);
    server_health m_health{*m_random};
};

// Guards against ejecting a busy server for a few failures among many reads.
TEST_F(server_health_test, small_share_of_failures_does_not_eject) {
    record(20, 5);
    EXPECT_FALSE(m_health.ejected());
}

// Guards against a grey server, whose successes between its failures hide it.
TEST_F(server_health_test, failures_among_successes_eject) {
    for (int i = 0; i < 3; ++i) {
        record(1, 1);
    }
    EXPECT_TRUE(m_health.ejected());
    EXPECT_EQ(m_health.reason(), ejection_reason::failures);
    EXPECT_FALSE(m_health.admits(m_now));
}

// Guards against many callers who are sent to a server that still fails.
TEST_F(server_health_test, one_probe_at_a_time_until_three_were_good) {
    record(0, 3);
    EXPECT_FALSE(m_health.take_probe(m_now));
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(m_health.ejected());
        ASSERT_TRUE(await_probe());
        EXPECT_FALSE(m_health.take_probe(m_now));
        m_health.record_good(m_now);
    }
    EXPECT_FALSE(m_health.ejected());
}

// Guards against taking a server back by the answers to reads from before its ejection.
TEST_F(server_health_test, late_successes_do_not_take_back) {
    record(0, 3);
    record(10, 0);
    EXPECT_TRUE(m_health.ejected());
}

// Guards against all reads returning at once to a server that has just recovered.
TEST_F(server_health_test, share_grows_after_the_return) {
    record(0, 3);
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(await_probe());
        m_health.record_good(m_now);
    }
    const auto admitted = [this] {
        int count = 0;
        for (int i = 0; i < 100; ++i) {
            count += m_health.admits(m_now) ? 1 : 0;
        }
        return count;
    };
    EXPECT_LT(admitted(), 30);
    m_now += 3s;
    EXPECT_EQ(admitted(), 100);
}

} // namespace
} // namespace oriole::scheduling
