#include "machines/failure_detector.h"

#include <gtest/gtest.h>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

class failure_detector_test : public testing::Test {
protected:
    void SetUp() override { run_probe_rounds(3, true); }

    void run_probe_rounds(int count, bool answered) {
        for (int i = 0; i < count; ++i) {
            m_now += milliseconds(100);
            m_detector->round_started(m_now);
            if (answered) {
                m_detector->answered(m_primary, m_now);
            }
        }
    }

    bool failed() { return m_detector->failed(m_primary, 3, m_watchers, m_now); }

    void receive_evidence(std::uint64_t term) {
        m_detector->evidence_received({m_database, m_primary, term, m_other, milliseconds(450)},
                                      m_now);
    }

    database_name m_database{"diary-1"};
    server_name m_primary{"s1"};
    instance_id m_self{"i1"};
    instance_id m_other{"i2"};
    std::set<instance_id> m_watchers{m_self, m_other, instance_id{"i3"}};
    clock::time_point m_now{std::chrono::seconds(9)};
    std::unique_ptr<failure_detector> m_detector = make_failure_detector(m_database, m_self);
};

// Guards against a change of primary caused by the broken network link of one instance.
TEST_F(failure_detector_test, unanswered_probes_need_evidence_of_second_instance) {
    run_probe_rounds(4, false);
    EXPECT_FALSE(failed());
    receive_evidence(3);
    EXPECT_TRUE(failed());
}

// Guards against a change of primary because of other instances' evidence although this instance
// receives the primary's answers.
TEST_F(failure_detector_test, others_evidence_without_own_is_not_enough) {
    receive_evidence(3);
    EXPECT_FALSE(failed());
}

// Guards against a failed primary that is never replaced when only one instance is left.
TEST_F(failure_detector_test, single_live_watcher_decides_alone) {
    m_watchers = {m_self};
    run_probe_rounds(3, false);
    EXPECT_FALSE(failed());
    run_probe_rounds(1, false);
    EXPECT_TRUE(failed());
}

// Guards against a paused instance that mistakes its own pause for a failure of the primary.
TEST_F(failure_detector_test, paused_observer_discards_its_evidence) {
    m_watchers = {m_self};
    m_now += std::chrono::seconds(30);
    EXPECT_FALSE(failed());
    m_detector->round_started(m_now);
    EXPECT_FALSE(failed());
    run_probe_rounds(3, false);
    EXPECT_FALSE(failed());
    run_probe_rounds(1, false);
    EXPECT_TRUE(failed());
}

// Guards against replacing a new or recovered primary because of outdated evidence.
TEST_F(failure_detector_test, evidence_of_other_term_or_expired_evidence_is_ignored) {
    receive_evidence(2);
    run_probe_rounds(4, false);
    EXPECT_FALSE(failed());
    receive_evidence(3);
    run_probe_rounds(11, false);
    EXPECT_FALSE(failed());
}

} // namespace
} // namespace oriole::machines
