#include "contracts/retry_budget.h"

#include <gtest/gtest.h>

namespace oriole::contracts {
namespace {

class retry_budget_test : public testing::Test {
protected:
    void exhaust(const account_name& account) {
        while (m_budget->take_retry(account)) {
        }
    }

    std::unique_ptr<random_source> m_random = make_random_source(1);
    std::unique_ptr<retry_budget> m_budget = make_retry_budget(*m_random);
    account_name m_account{"sunrise"};
};

// Guards against retries that multiply the load of a failing server.
TEST_F(retry_budget_test, all_requests_failing_gives_one_retry_in_ten) {
    exhaust(m_account);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        m_budget->add_request(m_account);
        retries += m_budget->take_retry(m_account) ? 1 : 0;
    }
    EXPECT_GE(retries, 99);
    EXPECT_LE(retries, 100);
}

// Guards against one account's failures that use up another account's retries.
TEST_F(retry_budget_test, exhausted_account_leaves_others_their_retries) {
    exhaust(m_account);
    EXPECT_TRUE(m_budget->take_retry(account_name{"moonlight"}));
}

// Guards against callers that fail together and retry together, and against unbounded delays.
TEST_F(retry_budget_test, back_off_varies_below_bound) {
    std::chrono::milliseconds shortest{1000};
    std::chrono::milliseconds longest{0};
    for (int i = 0; i < 1000; ++i) {
        const auto wait = m_budget->back_off(30);
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    EXPECT_LE(longest, retry_budget_settings{}.max_back_off);
    EXPECT_LT(shortest, longest);
}

} // namespace
} // namespace oriole::contracts
