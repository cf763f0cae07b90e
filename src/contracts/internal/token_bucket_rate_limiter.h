#pragma once

#include "contracts/internal/token_bucket.h"
#include "contracts/rate_limiter.h"

#include <unordered_map>

namespace oriole::contracts {

/// Rate limiter with one token bucket per client account.
class token_bucket_rate_limiter final : public rate_limiter {
public:
    void set_share(const account_name& account, const rate& whole, const share& held,
                   clock::time_point now) override;

    void remove(const account_name& account) override;

    [[nodiscard]] spend_result try_spend(const account_name& account, double cost,
                                         clock::time_point now) override;

private:
    std::unordered_map<account_name, token_bucket> m_buckets;
};

} // namespace oriole::contracts
