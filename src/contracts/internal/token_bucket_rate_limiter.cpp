#include "contracts/internal/token_bucket_rate_limiter.h"

namespace oriole::contracts {

void token_bucket_rate_limiter::set_share(const account_name& account, const rate& whole,
                                          const share& held, clock::time_point now) {
    auto& bucket = m_buckets.try_emplace(account, now).first->second;
    bucket.set_share(whole.per_second(), whole.burst(), held, now);
}

void token_bucket_rate_limiter::remove(const account_name& account) {
    m_buckets.erase(account);
}

spend_result token_bucket_rate_limiter::try_spend(const account_name& account, double cost,
                                                  clock::time_point now) {
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end()) {
        return spend_result::refused(std::nullopt);
    }
    return found->second.try_spend(cost, now);
}

} // namespace oriole::contracts
