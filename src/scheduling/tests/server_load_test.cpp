#include "scheduling/server_load.h"
#include "scheduling/usual_times.h"

#include <gtest/gtest.h>

namespace oriole::scheduling {
namespace {

using namespace std::chrono_literals;

class server_load_test : public testing::Test {
protected:
    clock::time_point m_now{1h};
    server_load m_load;
};

// Guards against a herd: reads that were sent since the last answer have to count.
TEST_F(server_load_test, running_statements_raise_the_prediction_at_once) {
    EXPECT_EQ(m_load.predicted_response({5, 6, 30ms}, m_now), 30ms);
    EXPECT_EQ(m_load.predicted_response({11, 6, 30ms}, m_now), 60ms);
}

// Guards against a changed order of servers that do not tell their slots.
TEST_F(server_load_test, unknown_slots_predict_no_wait) {
    EXPECT_EQ(m_load.predicted_response({50, 0, 30ms}, m_now), 30ms);
}

// Guards against a server that was slow once and is avoided for good.
TEST_F(server_load_test, slowness_fades_without_answers) {
    for (int i = 0; i < 30; ++i) {
        m_load.record_served(240ms, 30ms, m_now);
    }
    EXPECT_GT(m_load.slowness(m_now), 7);
    EXPECT_LT(m_load.slowness(m_now + 5s), 1.1);
}

// Guards against a full server that looks fast because it refuses quickly.
TEST_F(server_load_test, refusals_count_until_statements_are_served) {
    m_load.record_refused(m_now);
    const double refused = m_load.refused_share(m_now);
    EXPECT_GT(refused, 0);
    m_load.record_served(30ms, 30ms, m_now);
    EXPECT_LT(m_load.refused_share(m_now), refused);
}

// Guards against a usual time that hides a slowdown of the server that has most of the reads.
TEST(usual_times_test, usual_time_follows_slowly) {
    usual_times times;
    clock::time_point now{1h};
    for (int i = 0; i < 100; ++i, now += 10ms) {
        times.record("db", 30ms, now);
    }
    for (int i = 0; i < 100; ++i, now += 10ms) {
        times.record("db", 240ms, now);
    }
    EXPECT_LT(times.of("db"), 60ms);
    EXPECT_EQ(times.of("other"), 0ms);
}

} // namespace
} // namespace oriole::scheduling
