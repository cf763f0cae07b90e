#include "machines/read_attempts.h"
#include "machines/write_attempts.h"

#include <gtest/gtest.h>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

class write_attempts_test : public testing::Test {
protected:
    void SetUp() override {
        m_progress.request_id = "sunrise/r1";
        m_progress.deadline = m_now + std::chrono::seconds(2);
        set_primary(1, "s1");
    }

    void set_primary(std::uint64_t term, const std::string& server) {
        m_view.term = term;
        m_view.primary = server_name{server};
    }

    write_step next(const write_event& event) {
        auto [progress, step] = m_attempts->next(m_progress, event, m_view, 2, m_now);
        m_progress = progress;
        return step;
    }

    void expect_answer(const write_step& step, outcome result) {
        EXPECT_EQ(step.action, write_action::answer);
        EXPECT_EQ(step.result, result);
    }

    clock::time_point m_now{std::chrono::seconds(50)};
    database_view m_view;
    write_progress m_progress;
    std::unique_ptr<write_attempts> m_attempts = make_write_attempts();
};

// Guards against acknowledging a write before a second server has its log entry.
TEST_F(write_attempts_test, executed_write_is_done_only_after_confirmation) {
    EXPECT_EQ(next(write_ready{}).action, write_action::send);
    const auto step = next(write_executed{{1, 5}});
    EXPECT_EQ(step.action, write_action::confirm);
    EXPECT_EQ(step.position, log_position(1, 5));
    expect_answer(next(write_confirmed{}), outcome::done);
}

// Guards against losing a write when the primary fails between execution and confirmation.
TEST_F(write_attempts_test, fenced_write_is_sent_again_to_new_primary) {
    (void)next(write_ready{});
    (void)next(write_executed{{1, 5}});
    EXPECT_EQ(next(write_not_confirmed{true}).action, write_action::wait);
    set_primary(2, "s2");
    const auto step = next(write_ready{});
    EXPECT_EQ(step.action, write_action::send);
    EXPECT_EQ(step.server, server_name{"s2"});
    EXPECT_EQ(step.term, 2U);
    EXPECT_FALSE(step.uses_retry_budget);
}

// Guards against a false `not_run` after the connection failed while the request was in flight.
TEST_F(write_attempts_test, deadline_after_link_failed_in_flight_is_unknown) {
    (void)next(write_ready{});
    (void)next(write_link_failed{true});
    m_now = m_progress.deadline;
    expect_answer(next(write_ready{}), outcome::unknown);
}

// Guards against an unnecessary `unknown` when every server refused the request.
TEST_F(write_attempts_test, deadline_after_refusals_only_is_not_run) {
    (void)next(write_ready{});
    (void)next(write_refused{});
    m_now = m_progress.deadline;
    expect_answer(next(write_ready{}), outcome::not_run);
}

// Guards against a `not_run` that becomes false when a delayed request of the same term arrives.
TEST_F(write_attempts_test, request_id_absent_in_same_term_waits_instead_of_not_run) {
    m_progress.resendable = false;
    m_progress.term = 1;
    m_progress.server = server_name{"s1"};
    (void)next(write_link_failed{true});
    EXPECT_EQ(next(write_ready{}).action, write_action::look_up);
    EXPECT_EQ(next(write_looked_up{false, {1, 4}}).action, write_action::confirm);
    EXPECT_EQ(next(write_confirmed{}).action, write_action::wait);
}

// Guards against sending a commit twice, and against a `not_run` that relies on an unconfirmed log.
TEST_F(write_attempts_test, lost_commit_is_looked_up_in_confirmed_log_of_new_term) {
    m_progress.resendable = false;
    m_progress.term = 1;
    m_progress.server = server_name{"s1"};
    (void)next(write_link_failed{true});
    set_primary(2, "s2");
    EXPECT_EQ(next(write_ready{}).action, write_action::look_up);
    EXPECT_EQ(next(write_looked_up{false, {2, 4}}).action, write_action::confirm);
    expect_answer(next(write_confirmed{}), outcome::not_run);
}

// Guards against waiting for a confirmation in a term that the servers have left: an entry of an
// earlier term is confirmed by confirming a later entry.
TEST_F(write_attempts_test, repeated_result_of_earlier_term_is_looked_up) {
    (void)next(write_ready{});
    (void)next(write_link_failed{true});
    set_primary(2, "s2");
    (void)next(write_ready{});
    EXPECT_EQ(next(write_executed{{1, 5}, true}).action, write_action::look_up);
    EXPECT_EQ(next(write_looked_up{true, {2, 9}}).position, log_position(2, 9));
    expect_answer(next(write_confirmed{}), outcome::done);
}

// Guards against retry storms at a primary that drops connections: the retry must use the budget.
TEST_F(write_attempts_test, retry_at_same_server_uses_retry_budget) {
    (void)next(write_ready{});
    EXPECT_EQ(next(write_link_failed{false}).action, write_action::wait);
    EXPECT_TRUE(next(write_ready{}).uses_retry_budget);
}

class read_attempts_test : public testing::Test {
protected:
    read_step next(read_event event) {
        auto [progress, step] = m_attempts->next(m_progress, event, m_plan, m_now);
        m_progress = progress;
        return step;
    }

    clock::time_point m_now{std::chrono::seconds(50)};
    read_progress m_progress{m_now + std::chrono::seconds(1)};
    read_plan m_plan{{server_name{"s2"}, read_suitability::ready},
                     {server_name{"s1"}, read_suitability::primary}};
    std::unique_ptr<read_attempts> m_attempts = make_read_attempts();
};

// Guards against refusing a read that the primary could answer.
TEST_F(read_attempts_test, refusal_leads_to_next_candidate_without_use_of_retry_budget) {
    (void)next(read_event::ready);
    const auto step = next(read_event::refused);
    EXPECT_EQ(step.candidate.server, server_name{"s1"});
    EXPECT_FALSE(step.uses_retry_budget);
    EXPECT_EQ(next(read_event::failed_sent).action, read_action::rank_again);
}

// Guards against reporting a lost history because the log of one replica has diverged.
TEST_F(read_attempts_test, history_counts_as_lost_only_at_primary) {
    (void)next(read_event::ready);
    EXPECT_EQ(next(read_event::history_lost).action, read_action::send);
    EXPECT_EQ(next(read_event::history_lost).action, read_action::report_history_lost);
}

// Guards against repeating a request that must run at most once.
TEST_F(read_attempts_test, unrepeatable_read_that_was_sent_is_unknown) {
    m_progress.repeatable = false;
    (void)next(read_event::ready);
    EXPECT_EQ(next(read_event::failed_sent).action, read_action::report_outcome_unknown);
}

} // namespace
} // namespace oriole::machines
