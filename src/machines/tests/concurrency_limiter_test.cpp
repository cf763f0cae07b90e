#include "machines/concurrency_limiter.h"
#include "machines/slow_start.h"

#include <gtest/gtest.h>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class concurrency_limiter_test : public testing::Test {
protected:
    /// Simulates a server that processes `capacity` requests at a time, each in `service`. Further
    /// requests in flight queue at the server.
    void serve(std::size_t capacity, milliseconds service, seconds duration) {
        const auto end = m_now + duration;
        while (m_now < end) {
            const std::size_t in_flight = m_limiter->limit();
            const auto rounds = std::max<std::size_t>(1, (in_flight + capacity - 1) / capacity);
            m_now += milliseconds(5);
            m_limiter->answered(service * static_cast<int>(rounds), in_flight, m_now);
        }
    }

    clock::time_point m_now{std::chrono::hours(1)};
    std::unique_ptr<concurrency_limiter> m_limiter = make_gradient_concurrency_limiter();
};

// Guards against a limit at which latency is far above that of an unloaded server.
TEST_F(concurrency_limiter_test, overloaded_server_gets_limit_near_its_capacity) {
    m_limiter->answered(milliseconds(10), 1, m_now);
    serve(8, milliseconds(10), seconds(20));
    EXPECT_LE(m_limiter->limit(), 4 * 8);
    EXPECT_GE(m_limiter->limit(), 8);
}

// Guards against a limit that stays low after the server was temporarily slow.
TEST_F(concurrency_limiter_test, recovered_server_gets_its_limit_back) {
    serve(400, milliseconds(5), seconds(5));
    const auto before = m_limiter->limit();
    serve(2, milliseconds(5), seconds(5));
    EXPECT_LT(m_limiter->limit(), before / 4);
    serve(400, milliseconds(5), seconds(60));
    EXPECT_GE(m_limiter->limit(), before);
}

// Guards against a limit that grows under low load and then admits a burst of requests.
TEST_F(concurrency_limiter_test, unused_limit_does_not_grow) {
    const auto before = m_limiter->limit();
    for (int i = 0; i < 1000; ++i) {
        m_now += milliseconds(20);
        m_limiter->answered(milliseconds(1), 1, m_now);
    }
    EXPECT_EQ(m_limiter->limit(), before);
}

// Guards against a limit of zero, from which the limiter could not recover.
TEST_F(concurrency_limiter_test, timeouts_keep_limit_positive) {
    for (int i = 0; i < 1000; ++i) {
        m_now += seconds(1);
        m_limiter->timed_out(m_now);
    }
    EXPECT_GE(m_limiter->limit(), 1);
}

class slow_start_test : public testing::Test {
protected:
    clock::time_point m_now{std::chrono::hours(1)};
    std::unique_ptr<slow_start> m_slow_start = make_linear_slow_start();
};

// Guards against a server that has just become available again and gets the full load at once, or
// no load at all.
TEST_F(slow_start_test, recovered_server_gets_rising_load) {
    EXPECT_EQ(m_slow_start->factor(m_now), 1.0);
    m_slow_start->begin(m_now);
    EXPECT_GT(m_slow_start->factor(m_now), 0.0);
    EXPECT_LT(m_slow_start->factor(m_now), 0.2);
    EXPECT_DOUBLE_EQ(m_slow_start->factor(m_now + seconds(1)), 0.5);
    EXPECT_EQ(m_slow_start->factor(m_now + seconds(10)), 1.0);
}

} // namespace
} // namespace oriole::machines
