#include "contracts/retry_budget.h"
#include "scheduling/retry_policy.h"

namespace oriole::scheduling {
namespace {

/// A server that refused a statement is unlikely to have a free slot sooner.
constexpr clock::duration min_pause = std::chrono::milliseconds(5);

class budgeted_retry_policy final : public retry_policy {
public:
    explicit budgeted_retry_policy(random_source& random)
        : m_budget(contracts::make_retry_budget(random)) {}

    void add_statement(const account_name& account) override { m_budget->add_request(account); }

    [[nodiscard]] std::optional<clock::duration>
    pause_before_retry(const account_name& account, std::uint32_t retry, clock::time_point now,
                       clock::time_point latest_start) override {
        const clock::duration pause = min_pause + m_budget->back_off(retry);
        if (now + pause >= latest_start || !m_budget->take_retry(account)) {
            return std::nullopt;
        }
        return pause;
    }

private:
    std::unique_ptr<contracts::retry_budget> m_budget;
};

} // namespace

std::unique_ptr<retry_policy> make_budgeted_retry_policy(random_source& random) {
    return std::make_unique<budgeted_retry_policy>(random);
}

} // namespace oriole::scheduling
