#include "contracts/internal/token_retry_budget.h"

#include <algorithm>

namespace oriole::contracts {

token_retry_budget::token_retry_budget(random_source& random, retry_budget_settings settings)
    : m_random(random), m_settings(settings) {}

void token_retry_budget::add_request(const account_name& account) {
    auto& remaining = reserve(account);
    remaining = std::min(remaining + m_settings.retries_per_request, m_settings.max_reserve);
}

bool token_retry_budget::take_retry(const account_name& account) {
    auto& remaining = reserve(account);
    if (remaining < 1.0) {
        return false;
    }
    remaining -= 1.0;
    return true;
}

std::chrono::milliseconds token_retry_budget::back_off(std::uint32_t retry) {
    auto bound = m_settings.initial_back_off;
    for (std::uint32_t i = 0; i < retry && bound < m_settings.max_back_off; ++i) {
        bound *= 2;
    }
    bound = std::min(bound, m_settings.max_back_off);
    const auto choices = static_cast<std::uint64_t>(bound.count()) + 1;
    return std::chrono::milliseconds(static_cast<std::int64_t>(m_random.next() % choices));
}

double& token_retry_budget::reserve(const account_name& account) {
    return m_reserves.try_emplace(account, m_settings.max_reserve).first->second;
}

std::unique_ptr<retry_budget> make_retry_budget(random_source& random,
                                                retry_budget_settings settings) {
    return std::make_unique<token_retry_budget>(random, settings);
}

} // namespace oriole::contracts
