#include "contracts/share_divider.h"

#include "contracts/contracts_module.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::contracts {
namespace {

class share_divider_test : public testing::Test {
protected:
    static constexpr std::size_t threads = 4;

    [[nodiscard]] share_parts parts(const thread_shares& shares, std::size_t thread) const {
        return shares[thread].at(m_account).parts(clock::time_point{});
    }

    account_name m_account{"a"};
    std::map<account_name, share> m_held{
        {m_account, share({share_piece(100'000, clock::time_point(std::chrono::seconds(9)))})}};
    std::unique_ptr<share_divider> m_divider = contracts_module::make_share_divider(threads);
};

// Guards against thread shares that add up to more than the instance's share, also while some
// threads still use the previous shares and others the new ones.
RC_GTEST_FIXTURE_PROP(share_divider_test, any_mix_of_publications_fits_the_share, ()) {
    thread_shares in_force = m_divider->next_shares(m_held);
    for (int round = 0; round < 5; ++round) {
        for (std::size_t thread = 0; thread < threads; ++thread) {
            m_divider->add_demand(thread, m_account, *rc::gen::inRange(0, 100));
        }
        m_divider->advance();
        const auto reduced_shares = m_divider->reduced_shares(m_held);
        const auto next_shares = m_divider->next_shares(m_held);
        share_parts first_mix = 0;
        share_parts second_mix = 0;
        for (std::size_t thread = 0; thread < threads; ++thread) {
            first_mix += std::max(parts(in_force, thread), parts(reduced_shares, thread));
            second_mix += std::max(parts(reduced_shares, thread), parts(next_shares, thread));
        }
        RC_ASSERT(first_mix <= 100'000);
        RC_ASSERT(second_mix <= 100'000);
        in_force = next_shares;
    }
}

// Guards against a thread with most of an account's connections that gets only an equal portion of
// the share.
TEST_F(share_divider_test, busy_thread_gets_most) {
    m_divider->add_demand(0, m_account, 100);
    m_divider->advance();
    EXPECT_TRUE(m_divider->has_pending_increase());
    const auto next_shares = m_divider->next_shares(m_held);
    EXPECT_FALSE(m_divider->has_pending_increase());
    EXPECT_GT(parts(next_shares, 0), 75'000);
    EXPECT_GT(parts(next_shares, 1), 0);
}

} // namespace
} // namespace oriole::contracts
