#include "load/rate_excess.h"

#include "load/account_summary.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace oriole::load {
namespace {

using std::chrono::microseconds;

class rate_excess_test : public testing::Test {
protected:
    recorded_request& add(std::int64_t sent, std::int64_t length) {
        recorded_request request;
        request.account = "acme";
        request.sent = microseconds(sent);
        request.answered = microseconds(sent + length);
        request.status = 200;
        request.result = outcome::done;
        m_history.requests.push_back(std::move(request));
        return m_history.requests.back();
    }

    [[nodiscard]] std::vector<const recorded_request*> done() const {
        std::vector<const recorded_request*> list;
        for (const auto& request : m_history.requests) {
            list.push_back(&request);
        }
        return list;
    }

    [[nodiscard]] double count_excess(microseconds from, microseconds to,
                                      const rate_limit& limit) const {
        const auto inside =
            std::count_if(m_history.requests.begin(), m_history.requests.end(),
                          [&](const auto& r) { return r.sent >= from && r.answered <= to; });
        const double length = static_cast<double>((to - from).count()) / 1e6;
        return static_cast<double>(inside) - limit.per_second * length - limit.burst;
    }

    recorded_history m_history;
};

// Guards against a search that skips intervals: compares its result with the largest excess over
// all pairs of a start and an end.
RC_GTEST_FIXTURE_PROP(rate_excess_test, any_history_gives_the_worst_of_all_intervals, ()) {
    m_history.requests.clear();
    const auto count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
        add(*rc::gen::inRange(0, 50'000), *rc::gen::inRange(0, 20'000));
    }
    const rate_limit limit{static_cast<double>(*rc::gen::inRange(0, 2000)),
                           static_cast<double>(*rc::gen::inRange(0, 5))};
    double worst = -limit.burst;
    for (const auto& first : m_history.requests) {
        for (const auto& last : m_history.requests) {
            if (last.answered >= first.sent) {
                worst = std::max(worst, count_excess(first.sent, last.answered, limit));
            }
        }
    }
    const auto found = find_rate_excess(done(), limit);
    RC_ASSERT(std::abs(found.excess - worst) < 1e-6);
    if (found.requests > 0) {
        RC_ASSERT(std::abs(count_excess(found.from, found.to, limit) - worst) < 1e-6);
    }
}

// Guards against counting a refusal as wrong although the account had exceeded its rate.
TEST_F(rate_excess_test, refusal_is_wrongful_only_within_rate_and_burst) {
    m_history.accounts["acme"].limit = rate_limit{10, 1};
    add(0, 1);
    auto& over = add(50'000, 1);
    over.status = 429;
    over.result = outcome::not_run;
    auto& within = add(250'000, 1);
    within.status = 429;
    within.result = outcome::not_run;
    const auto summary = summarize_account(m_history, "acme");
    EXPECT_EQ(summary.due, 2U);
    EXPECT_EQ(summary.refused_over_rate, 2U);
    EXPECT_EQ(summary.wrongly_refused, 1U);
    EXPECT_EQ(summary.share_of_due(), 0.5);
}

} // namespace
} // namespace oriole::load
