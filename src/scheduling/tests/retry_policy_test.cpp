#include "scheduling/retry_policy.h"

#include <gtest/gtest.h>

namespace oriole::scheduling {
namespace {

using namespace std::chrono_literals;

class retry_policy_test : public testing::Test {
protected:
    std::optional<clock::duration> pause(const std::string& account, clock::duration time_left) {
        return m_policy->pause_before_retry(account_name(account), 0, m_now, m_now + time_left);
    }

    clock::time_point m_now{1h};
    std::unique_ptr<random_source> m_random = make_random_source(1);
    std::unique_ptr<retry_policy> m_policy = make_budgeted_retry_policy(*m_random);
};

// Load: a server refuses everything. Guards against refused work that comes back in full: each
// statement may add a tenth of a retry.
TEST_F(retry_policy_test, refused_work_comes_back_only_in_part) {
    constexpr int statements = 1000;
    int retries = 0;
    for (int i = 0; i < statements; ++i) {
        m_policy->add_statement(account_name("a"));
        retries += pause("a", 1s) ? 1 : 0;
    }
    EXPECT_LE(retries, statements / 10 + 20);
    EXPECT_TRUE(pause("b", 1s));
}

// Guards against a retry that would start too late for its caller.
TEST_F(retry_policy_test, retry_without_time_left_is_not_made) {
    EXPECT_FALSE(pause("a", 4ms));
}

} // namespace
} // namespace oriole::scheduling
