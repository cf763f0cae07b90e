#include "entry/internal/advance_admissions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;
using decision = advance_admissions::decision;

/// Instances that send one account's operations, and a coordinator with the account's bucket.
class advance_admissions_test : public testing::Test {
protected:
    struct outcome {
        int sent = 0;
        int admitted = 0;
        int calls = 0;
    };

    static constexpr int instances = 50;

    /// Plays 5 s in which each instance begins an operation every `gap`, at a rate of
    /// `operations_per_s` for the account.
    [[nodiscard]] outcome play(clock::duration gap, double operations_per_s) const {
        constexpr clock::duration report_interval = 100ms;
        constexpr clock::duration step = 1ms;
        std::vector<advance_admissions> senders(instances);
        outcome result;
        double tokens = operations_per_s / 2;
        for (auto time = 0ns; time < 5s; time += step) {
            const clock::time_point now(1h + time);
            tokens = std::min(tokens + operations_per_s * 0.001, operations_per_s / 2);
            for (int i = 0; i < instances; ++i) {
                auto& sender = senders[static_cast<std::size_t>(i)];
                if ((time + i * step) % report_interval == 0ns) {
                    sender.end_interval();
                }
                if ((time + i * step) % gap == 0ns) {
                    ++result.sent;
                    result.admitted += begin(sender, tokens, result.calls, now) ? 1 : 0;
                }
            }
        }
        return result;
    }

    /// Returns whether the operation is admitted. The coordinator admits the batch or one.
    static bool begin(advance_admissions& sender, double& tokens, int& calls,
                      clock::time_point now) {
        const auto known = sender.decide(now);
        if (known != decision::unknown) {
            return known == decision::admitted;
        }
        ++calls;
        const int batch = tokens >= sender.wanted() ? sender.wanted() : (tokens >= 1 ? 1 : 0);
        tokens -= batch;
        sender.record_answer(batch, now);
        return batch > 0;
    }
};

// Guards against a coordinator that is overrun by the calls for one account, so that the other
// accounts of its group are refused. 50 instances, 5,000 operations/s, 10 times the rate.
TEST_F(advance_admissions_test, account_far_over_its_rate_causes_few_calls_and_gets_its_rate) {
    const auto seen = play(10ms, 500);
    EXPECT_EQ(seen.sent, 25'000);
    // A call is either refused, once per lifetime of a refusal, or admits at least one operation.
    EXPECT_LE(seen.calls, instances * 5 * 20 + seen.admitted);
    EXPECT_GE(seen.admitted, 500 * 5 * 95 / 100);
    EXPECT_LE(seen.admitted, 500 * 5 + 250);
}

// Guards against refusals of an account that keeps to its rate.
TEST_F(advance_admissions_test, account_within_its_rate_is_never_refused) {
    const auto seen = play(100ms, 600);
    EXPECT_EQ(seen.admitted, seen.sent);
}

// Guards against a refusal that holds on after the rate has room again.
TEST_F(advance_admissions_test, refusal_holds_for_50_ms) {
    advance_admissions sender;
    const clock::time_point now(1h);
    sender.record_answer(0, now);
    EXPECT_EQ(sender.decide(now + 49ms), decision::refused);
    EXPECT_EQ(sender.decide(now + 50ms), decision::unknown);
}

// Guards against admissions of the coordinator that a second answer discards.
TEST_F(advance_admissions_test, overlapping_answers_add_up) {
    advance_admissions sender;
    const clock::time_point now(1h);
    sender.record_answer(3, now);
    sender.record_answer(3, now);
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(sender.decide(now), decision::admitted);
    }
    EXPECT_EQ(sender.decide(now), decision::unknown);
}

// Guards against operations that are admitted long before they begin.
TEST_F(advance_admissions_test, admission_in_advance_expires) {
    advance_admissions sender;
    const clock::time_point now(1h);
    sender.record_answer(3, now);
    EXPECT_EQ(sender.decide(now + 99ms), decision::admitted);
    EXPECT_EQ(sender.decide(now + 100ms), decision::unknown);
}

} // namespace
} // namespace oriole::entry
