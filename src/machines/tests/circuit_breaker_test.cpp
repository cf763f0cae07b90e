#include "machines/circuit_breaker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

class circuit_breaker_test : public testing::Test {
protected:
    void fail(int times) {
        for (int i = 0; i < times; ++i) {
            m_breaker->failed(m_now);
        }
    }

    clock::time_point m_now{std::chrono::hours(1)};
    std::unique_ptr<random_source> m_random = make_random_source(7);
    std::unique_ptr<circuit_breaker> m_breaker = make_circuit_breaker(*m_random);
};

// Guards against opening for failures that are not consecutive, such as single lost connections.
TEST_F(circuit_breaker_test, failures_with_success_between_stay_closed) {
    fail(2);
    m_breaker->succeeded();
    fail(2);
    EXPECT_FALSE(m_breaker->open());
    fail(1);
    EXPECT_TRUE(m_breaker->open());
}

// Guards against many probes at a server that is down, and against a breaker that stays open.
TEST_F(circuit_breaker_test, open_breaker_allows_one_probe_per_backoff) {
    fail(3);
    EXPECT_FALSE(m_breaker->take_probe(m_now));
    m_now += milliseconds(50);
    EXPECT_TRUE(m_breaker->take_probe(m_now));
    EXPECT_FALSE(m_breaker->take_probe(m_now));
    m_breaker->failed(m_now);
    m_now += milliseconds(49);
    EXPECT_FALSE(m_breaker->take_probe(m_now));
    m_now += milliseconds(51);
    EXPECT_TRUE(m_breaker->take_probe(m_now));
    m_breaker->succeeded();
    EXPECT_FALSE(m_breaker->open());
}

// Guards against a probe that is delayed by late failures of requests that were sent before the
// breaker opened.
RC_GTEST_FIXTURE_PROP(circuit_breaker_test, late_failures_do_not_delay_probe, (std::uint8_t late)) {
    fail(3);
    m_now += milliseconds(50);
    fail(late);
    RC_ASSERT(m_breaker->take_probe(m_now));
}

} // namespace
} // namespace oriole::machines
