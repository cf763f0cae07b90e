#pragma once

#include "contracts/retry_budget.h"

#include <unordered_map>

namespace oriole::contracts {

class token_retry_budget final : public retry_budget {
public:
    token_retry_budget(random_source& random, retry_budget_settings settings);

    void add_request(const account_name& account) override;
    [[nodiscard]] bool take_retry(const account_name& account) override;
    [[nodiscard]] std::chrono::milliseconds back_off(std::uint32_t retry) override;

private:
    [[nodiscard]] double& reserve(const account_name& account);

    random_source& m_random;
    retry_budget_settings m_settings;
    std::unordered_map<account_name, double> m_reserves;
};

} // namespace oriole::contracts
