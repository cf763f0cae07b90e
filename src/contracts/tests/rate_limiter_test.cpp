#include "contracts/rate_limiter.h"

#include "contracts/contracts_module.h"

#include <gtest/gtest.h>

namespace oriole::contracts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rate_limiter_test : public testing::Test {
protected:
    [[nodiscard]] static clock::time_point at(clock::duration since_start) {
        return clock::time_point(seconds(1000)) + since_start;
    }

    [[nodiscard]] static share held(share_parts parts, clock::duration until) {
        return share({share_piece(parts, at(until))});
    }

    /// Spends all tokens available at that time with requests of weight 1 and returns their number.
    [[nodiscard]] int drain(clock::duration since_start) {
        int admitted = 0;
        while (m_limiter->try_spend(m_account, 1, at(since_start)).is_admitted()) {
            ++admitted;
        }
        return admitted;
    }

    account_name m_account{"sprout"};
    rate m_rate{rate_name{"r"}, 100, 50};
    std::unique_ptr<rate_limiter> m_limiter = contracts_module::make_rate_limiter();
};

// Guards against an added share that brings tokens with it, which its previous holder may have
// spent.
TEST_F(rate_limiter_test, received_share_starts_empty) {
    m_limiter->set_share(m_account, m_rate, held(whole_share / 2, seconds(10)), at(seconds(0)));
    EXPECT_EQ(drain(seconds(0)), 0);
    EXPECT_EQ(drain(seconds(5)), 25);
    m_limiter->set_share(m_account, m_rate, held(whole_share, seconds(10)), at(seconds(5)));
    EXPECT_EQ(drain(seconds(5)), 0);
}

// Guards against spending tokens of parts that were handed over to another holder.
TEST_F(rate_limiter_test, lowered_share_drops_tokens_at_once) {
    m_limiter->set_share(m_account, m_rate, held(whole_share, seconds(10)), at(seconds(0)));
    m_limiter->set_share(m_account, m_rate, held(whole_share / 10, seconds(10)), at(seconds(9)));
    EXPECT_EQ(drain(seconds(9)), 5);
}

// Guards against a paused thread that spends from a lease that expired meanwhile, when another
// holder may have the parts.
TEST_F(rate_limiter_test, expired_lease_is_not_spent_after_a_pause) {
    const share mixed({share_piece(whole_share / 10, at(seconds(100))),
                       share_piece(whole_share / 2, at(seconds(10)))});
    m_limiter->set_share(m_account, m_rate, mixed, at(seconds(0)));
    EXPECT_EQ(drain(seconds(10)), 5);
    m_limiter->set_share(m_account, m_rate, mixed, at(seconds(10)));
    EXPECT_EQ(drain(seconds(60)), 5);
    EXPECT_EQ(drain(seconds(101)), 0);
}

// Guards against a lowered rate in the configuration that leaves tokens of the old burst to be
// spent.
TEST_F(rate_limiter_test, lowered_rate_takes_effect_at_once) {
    m_limiter->set_share(m_account, m_rate, held(whole_share, seconds(100)), at(seconds(0)));
    const rate lower(rate_name{"r"}, 10, 5);
    m_limiter->set_share(m_account, lower, held(whole_share, seconds(100)), at(seconds(50)));
    EXPECT_EQ(drain(seconds(50)), 5);
}

// Guards against a retry time that is too early, or that is given although no retry can succeed.
TEST_F(rate_limiter_test, refusal_tells_when_to_retry) {
    m_limiter->set_share(m_account, m_rate, held(whole_share, seconds(100)), at(seconds(0)));
    const auto refused = m_limiter->try_spend(m_account, 10, at(milliseconds(50)));
    ASSERT_TRUE(refused.retry_after().has_value());
    const auto later = milliseconds(50) + *refused.retry_after();
    EXPECT_TRUE(m_limiter->try_spend(m_account, 10, at(later)).is_admitted());
    EXPECT_FALSE(m_limiter->try_spend(m_account, 51, at(seconds(9))).retry_after().has_value());
    EXPECT_FALSE(m_limiter->try_spend(account_name{"other"}, 1, at(seconds(9))).is_admitted());
}

} // namespace
} // namespace oriole::contracts
