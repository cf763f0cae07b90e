#include "machines/promotion.h"

#include "machines/switchover.h"
#include "server_group_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::machines {
namespace {

class promotion_test : public testing::Test {
protected:
    static constexpr std::size_t steps_per_run = 1200;
    static constexpr std::uint32_t choices = 1U << 30U;

    promotion_action expect_one(const std::vector<promotion_action>& actions) {
        EXPECT_EQ(actions.size(), 1U);
        return actions.empty() ? promotion_action{} : actions.front();
    }

    server_name m_s1{"s1"};
    server_name m_s2{"s2"};
    server_name m_s3{"s3"};
    promotion_plan m_plan{{m_s1, m_s2, m_s3}, 5, {}};
};

// Guards against lost confirmed entries and diverging logs under message loss, duplication and
// reordering, paused servers and concurrent promotions.
RC_GTEST_FIXTURE_PROP(promotion_test, random_schedule_keeps_confirmed_entries_in_one_history, ()) {
    // No shrinking: it changes all later steps of a schedule and took minutes. The seed reproduces
    // a failure.
    const auto schedule = *rc::gen::noShrink(rc::gen::container<std::vector<std::uint32_t>>(
        steps_per_run, rc::gen::inRange<std::uint32_t>(0, choices)));
    server_group_model model;
    for (const auto choice : schedule) {
        model.step(choice);
        RC_ASSERT(model.violation() == "");
    }
    RC_CLASSIFY(model.confirmed() > 0, "confirmed entries");
    RC_CLASSIFY(model.promotions() > 1, "several promotions");
}

// Guards against promoting a server that lacks entries of another fenced server.
TEST_F(promotion_test, majority_fenced_promotes_longest_log) {
    const auto promotion_under_test = make_promotion(m_plan);
    EXPECT_EQ(promotion_under_test->start().size(), 3U);
    EXPECT_TRUE(promotion_under_test->handle(server_refused{m_s1, 4, 4}).empty());
    EXPECT_TRUE(promotion_under_test->handle(server_fenced{m_s2, 5, {4, 7}}).empty());
    const auto step = expect_one(promotion_under_test->handle(server_fenced{m_s3, 5, {4, 8}}));
    EXPECT_EQ(step, (promotion_action{promotion_request::promote, m_s3, 5, {}}));
    EXPECT_EQ(promotion_under_test->handle(server_promoted{m_s3, 5}).size(), 2U);
    EXPECT_EQ(promotion_under_test->state(), promotion_state::redirecting);
    (void)promotion_under_test->handle(server_follows{m_s2, 5});
    EXPECT_EQ(promotion_under_test->state(), promotion_state::done);
}

// Guards against promoting a server that operators took out of service although another one in
// service has the same log.
TEST_F(promotion_test, equal_logs_prefer_server_in_service) {
    m_plan.preferred = {m_s3};
    const auto promotion_under_test = make_promotion(m_plan);
    (void)promotion_under_test->start();
    EXPECT_TRUE(promotion_under_test->handle(server_fenced{m_s2, 5, {4, 7}}).empty());
    EXPECT_TRUE(promotion_under_test->handle(server_fenced{m_s1, 5, {4, 7}}).empty());
    EXPECT_EQ(expect_one(promotion_under_test->handle(server_fenced{m_s3, 5, {4, 7}})).server,
              m_s3);
}

// Guards against a second primary in the same term after the chosen server's answer was lost.
TEST_F(promotion_test, unresponsive_chosen_server_is_asked_again_and_no_other) {
    const auto promotion_under_test = make_promotion(m_plan);
    (void)promotion_under_test->start();
    (void)promotion_under_test->handle(server_fenced{m_s2, 5, {4, 7}});
    (void)promotion_under_test->handle(server_fenced{m_s3, 5, {4, 8}});
    EXPECT_TRUE(promotion_under_test->handle(server_unresponsive{m_s2, 5}).empty());
    EXPECT_EQ(expect_one(promotion_under_test->handle(server_unresponsive{m_s3, 5})).server, m_s3);
    EXPECT_TRUE(
        promotion_under_test->handle(promotion_timeout{promotion_state::promoting, 5}).empty());
    EXPECT_EQ(promotion_under_test->state(), promotion_state::failed);
    EXPECT_TRUE(promotion_under_test->handle(server_promoted{m_s3, 5}).empty());
}

// Guards against a promotion that continues without a majority, and against reuse of a term.
TEST_F(promotion_test, refusal_by_majority_fails_and_reports_highest_term) {
    const auto promotion_under_test = make_promotion(m_plan);
    (void)promotion_under_test->start();
    (void)promotion_under_test->handle(server_refused{m_s2, 5, 6});
    (void)promotion_under_test->handle(server_refused{m_s3, 5, 7});
    EXPECT_EQ(promotion_under_test->state(), promotion_state::failed);
    EXPECT_EQ(promotion_under_test->highest_term(), 7U);
}

class switchover_test : public testing::Test {
protected:
    clock::time_point m_now{std::chrono::seconds(5)};
    std::unique_ptr<switchover> m_switchover = make_switchover();
};

// Guards against a promotion that starts while writes are in flight or the target lags.
TEST_F(switchover_test, target_with_last_position_starts_promotion_and_its_end_releases_writes) {
    EXPECT_EQ(m_switchover->start(m_now), switchover_action::hold_writes);
    EXPECT_EQ(m_switchover->update_positions({1, 9}, {1, 9}, false), switchover_action::none);
    EXPECT_EQ(m_switchover->update_positions({1, 9}, {1, 8}, true), switchover_action::none);
    EXPECT_EQ(m_switchover->update_positions({1, 9}, {1, 9}, true),
              switchover_action::start_promotion);
    EXPECT_EQ(m_switchover->promotion_ended(promotion_state::done),
              switchover_action::release_writes);
    EXPECT_EQ(m_switchover->state(), switchover_state::done);
}

// Guards against writes that stay held because the target never catches up.
TEST_F(switchover_test, lagging_target_releases_writes_after_timeout) {
    (void)m_switchover->start(m_now);
    EXPECT_EQ(m_switchover->tick(m_now + default_switchover_timeout / 2), switchover_action::none);
    EXPECT_EQ(m_switchover->tick(m_now + default_switchover_timeout),
              switchover_action::release_writes);
    EXPECT_EQ(m_switchover->state(), switchover_state::abandoned);
}

// Guards against a failover that waits for the timeout of a planned change.
TEST_F(switchover_test, failed_primary_releases_writes_at_once) {
    (void)m_switchover->start(m_now);
    EXPECT_EQ(m_switchover->primary_failed(), switchover_action::release_writes);
}

} // namespace
} // namespace oriole::machines
