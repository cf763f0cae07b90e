#include "usage/report_duty.h"

#include "fleet/types/fencing_token.h"

#include <gtest/gtest.h>

#include <set>

namespace oriole::usage {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t first_window = 1000;

/// Instances that share a store and a platform. Time is that since the end of `first_window`.
class report_duty_test : public testing::Test {
protected:
    struct modelled_instance {
        report_duty duty;
        account_counts counts; ///< what a gathering finds
        gather_status status = gather_status::complete;
        std::vector<report_step> steps;
    };

    report_duty_test() {
        m_order.revision = {1, 1};
        for (const auto* name : {"a", "b", "c"}) {
            const instance_id id(name);
            m_instances.emplace(id, modelled_instance{report_duty(id, m_settings),
                                                      {{m_account, 7}},
                                                      gather_status::complete,
                                                      {}});
            m_candidates.push_back(id);
        }
        // Makes the window in progress the first one that they know.
        set_time(-1s);
        for (auto& [id, instance] : m_instances) {
            static_cast<void>(instance.duty.next(situation()));
        }
    }

    modelled_instance& at(const std::string& id) { return m_instances.at(instance_id(id)); }

    void set_time(clock::duration since_end) { m_now = clock::time_point(100h + since_end); }

    [[nodiscard]] report_situation situation() const {
        const auto end = window_end(first_window, m_settings.window);
        return {m_now, end + (m_now - clock::time_point(100h)), m_candidates};
    }

    std::optional<usage_order> record(usage_order order) {
        if (order.revision != m_order.revision) {
            return std::nullopt;
        }
        ++m_number;
        order.revision = {m_era, m_number};
        order.fence = fleet::fencing_token(order.revision);
        m_order = order;
        return order;
    }

    /// Goes back to the order of the copy.
    void restore_store(const usage_order& copy) {
        m_order = copy;
        m_order.revision.era = ++m_era;
    }

    /// Carries out one step of the instance and returns it.
    report_step step(const std::string& id) {
        auto& [duty, counts, status, steps] = at(id);
        const auto task = duty.next(situation());
        steps.push_back(task.step);
        switch (task.step) {
        case report_step::wait:
            break;
        case report_step::read_order:
            m_store_down ? duty.store_failed(m_now) : duty.order_read(m_order, situation());
            break;
        case report_step::gather:
            duty.gathered(task.window, {status, counts}, m_now);
            break;
        case report_step::record_order:
            if (const auto recorded = record(task.order)) {
                duty.order_recorded(*recorded, m_now);
            } else {
                duty.order_replaced(m_now);
            }
            break;
        case report_step::send_report:
            send(duty, task.order);
            break;
        }
        return task.step;
    }

    void send(report_duty& duty, const usage_order& order) {
        if (m_platform_silent) {
            duty.report_unanswered(m_now);
            return;
        }
        const bool refused = order.fence < m_highest_fence;
        if (!refused) {
            m_highest_fence = order.fence;
            EXPECT_TRUE(m_holders.emplace(order.fence, order.holder).first->second == order.holder);
            const auto [known, is_new] =
                m_accepted.emplace(order.report.window, order.report.counts);
            EXPECT_EQ(known->second, order.report.counts) << "two reports differ";
        }
        m_sent.push_back(order);
        if (m_answers_lost) {
            duty.report_unanswered(m_now);
            return;
        }
        duty.report_answered(order, refused ? usage_result::refused : usage_result::accepted,
                             situation());
    }

    /// Lets the instance act in steps of 100 ms until `since_end`.
    void run(const std::string& id, clock::duration since_end) {
        const clock::time_point until(100h + since_end);
        for (; m_now <= until; m_now += 100ms) {
            while (step(id) != report_step::wait) {
            }
        }
    }

    /// Lets several instances act.
    void run_all(const std::vector<std::string>& ids, clock::duration since_end) {
        while (m_now <= clock::time_point(100h + since_end)) {
            const auto now = m_now;
            for (const auto& id : ids) {
                m_now = now;
                run(id, now - clock::time_point(100h));
            }
        }
    }

    std::vector<miss_reason> reasons(const std::string& id) {
        std::vector<miss_reason> result;
        for (const auto& outcome : at(id).duty.take_outcomes()) {
            result.push_back(outcome.reason);
        }
        return result;
    }

    const usage_settings m_settings{5s, 10s, 3s};
    const account_name m_account{"t"};
    clock::time_point m_now{};
    std::map<instance_id, modelled_instance> m_instances;
    std::vector<instance_id> m_candidates;
    usage_order m_order; ///< in the store
    std::uint64_t m_era = 1;
    std::uint64_t m_number = 1;
    bool m_store_down = false;
    bool m_platform_silent = false; ///< nothing arrives
    bool m_answers_lost = false;    ///< reports arrive, their answers do not
    std::uint64_t m_highest_fence = 0;
    std::map<std::uint64_t, instance_id> m_holders;
    std::map<std::int64_t, account_counts> m_accepted;
    std::vector<usage_order> m_sent;
};

// Guards against a window that is reported twice or not at all.
TEST_F(report_duty_test, first_candidate_reports_each_window_once) {
    run("a", 7900ms);
    EXPECT_EQ(m_accepted.size(), 2U);
    EXPECT_EQ(m_sent.size(), 2U);
    EXPECT_EQ(reasons("a"), std::vector(2, miss_reason::none));
}

// Guards against a store call by each candidate in each window.
TEST_F(report_duty_test, other_candidate_that_heard_of_the_report_does_nothing) {
    run("a", 2500ms);
    at("b").duty.heard(at("a").duty.news(m_now), m_now);
    run("b", 6s);
    EXPECT_EQ(at("b").steps, std::vector(at("b").steps.size(), report_step::wait));
}

// Guards against windows that are missed because the reporter is gone.
TEST_F(report_duty_test, next_candidate_reports_when_the_first_is_silent) {
    run("b", 6s);
    EXPECT_EQ(m_accepted.size(), 1U);
}

// Guards against two different reports when the reporter dies after its order: the successor may
// have other counts.
TEST_F(report_duty_test, successor_repeats_the_recorded_report_after_the_lease) {
    m_answers_lost = true;
    run("a", 2200ms);
    m_answers_lost = false;
    at("b").counts = {{m_account, 9}};
    run("b", 7400ms);
    EXPECT_EQ(m_sent.back().holder, instance_id("a"));
    run("b", 7600ms);
    ASSERT_EQ(m_sent.back().holder, instance_id("b"));
    EXPECT_EQ(m_sent.at(m_sent.size() - 2).report.counts, (account_counts{{m_account, 7}}));
    EXPECT_EQ(m_accepted.size(), 2U);
    EXPECT_EQ(reasons("b"), std::vector(2, miss_reason::none));
}

// Guards against a report that is repeated with counts that arrived meanwhile.
TEST_F(report_duty_test, lost_answer_is_followed_by_the_same_report_and_token) {
    m_answers_lost = true;
    run("a", 2100ms);
    at("a").counts = {{m_account, 8}};
    m_answers_lost = false;
    run("a", 4s);
    ASSERT_EQ(m_sent.size(), 2U);
    EXPECT_EQ(m_sent[0], m_sent[1]);
}

// Guards against a holder that keeps the duty although it cannot reach the platform.
TEST_F(report_duty_test, holder_without_answer_leaves_the_window_to_the_next) {
    m_platform_silent = true;
    run_all({"a", "b"}, 7s);
    m_platform_silent = false;
    run("b", 7600ms);
    EXPECT_EQ(m_holders.begin()->second, instance_id("b"));
    EXPECT_EQ(m_accepted.count(first_window), 1U);
}

// Guards against a paused holder that wakes and sends its report after another has taken over.
TEST_F(report_duty_test, paused_holder_that_wakes_sends_nothing_under_its_old_order) {
    m_platform_silent = true;
    run("a", 2s);
    m_platform_silent = false;
    set_time(3400ms);
    run("b", 9s);
    const auto sent = m_sent.size();
    run("a", 9300ms);
    for (auto i = sent; i < m_sent.size(); ++i) {
        EXPECT_NE(m_sent[i].fence, at("a").duty.news(m_now).fence);
    }
    EXPECT_EQ(m_accepted.at(first_window), (account_counts{{m_account, 7}}));
    EXPECT_LE(m_sent.size(), 2U);
}

// Guards against calls that repeat a token that the platform has refused.
TEST_F(report_duty_test, refused_token_is_not_used_again) {
    m_highest_fence = 50;
    run("a", 6900ms);
    EXPECT_EQ(m_sent.size(), 1U);
    EXPECT_EQ(reasons("a"), std::vector{miss_reason::refused});
}

// Guards against a second report, with other counts, of a window whose order the store has lost.
TEST_F(report_duty_test, windows_before_a_restore_of_the_store_are_left_out) {
    const auto copy = m_order;
    run("a", 2100ms);
    restore_store(copy);
    at("b").counts = {{m_account, 9}};
    run("b", 6900ms);
    EXPECT_EQ(reasons("b"), std::vector{miss_reason::store_restored});
    run("b", 8900ms);
    EXPECT_EQ(m_accepted.size(), 2U);
}

// As above, for an order from before the restore that is written late and has replaced a newer one.
TEST_F(report_duty_test, late_write_of_an_earlier_era_is_not_repeated) {
    restore_store(m_order);
    run("a", 2100ms);
    m_order = {{first_window, {{m_account, 5}}}, instance_id("c"), 1, {m_era, ++m_number}};
    run("b", 6900ms);
    EXPECT_EQ(m_sent.size(), 0U);
    EXPECT_EQ(reasons("b"), std::vector{miss_reason::store_restored});
}

// As above, for a holder that keeps the order in memory.
TEST_F(report_duty_test, holder_reads_the_order_again_after_a_restore) {
    run("a", 2100ms);
    restore_store(m_order);
    run("a", 7900ms);
    EXPECT_EQ(m_accepted.size(), 1U);
    run("a", 13s);
    EXPECT_EQ(m_accepted.size(), 2U);
    EXPECT_EQ(reasons("a"),
              (std::vector{miss_reason::none, miss_reason::store_restored, miss_reason::none}));
}

// Guards against a report without the counts of a zone, and of a window that nobody saw whole.
TEST_F(report_duty_test, incomplete_window_is_left_out) {
    at("a").status = gather_status::zone_missing;
    run("a", 9600ms);
    EXPECT_TRUE(m_sent.empty());
    EXPECT_EQ(reasons("a"), std::vector{miss_reason::zone_missing});
}

// Guards against reports that come after the limit, and windows out of order.
TEST_F(report_duty_test, window_that_is_late_is_left_out_and_the_next_is_reported) {
    m_store_down = true;
    run("a", 9600ms);
    m_store_down = false;
    run("a", 10s);
    EXPECT_EQ(reasons("a"), (std::vector{miss_reason::store_away, miss_reason::none}));
    EXPECT_EQ(m_accepted.count(first_window), 0U);
}

// Guards against two holders that act in turn within the lease.
TEST_F(report_duty_test, another_candidate_waits_for_the_lease_of_the_last_order) {
    run("a", 2200ms);
    set_time(3400ms);
    at("b").duty.heard({first_window - 1, m_order.fence, instance_id("a"), 0ms, true}, m_now);
    std::erase(m_candidates, instance_id("a"));
    m_order.report.window = first_window - 1;
    run("b", 7300ms);
    EXPECT_EQ(m_sent.size(), 1U);
    run("b", 7500ms);
    EXPECT_GT(m_sent.size(), 1U);
}

} // namespace
} // namespace oriole::usage
