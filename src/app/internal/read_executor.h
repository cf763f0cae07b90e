#pragma once

#include "app/internal/request_context.h"
#include "app/internal/traffic_state.h"
#include "contracts/retry_budget.h"
#include "links/types/caller_messages.h"
#include "machines/read_attempts.h"
#include "machines/replica_selector.h"

#include <optional>

namespace oriole::app {

/// Executes reads: sends each to the servers that replica_selector ranks, in the order and with the
/// retries that read_attempts decides. Used on one traffic thread.
class read_executor {
public:
    /// Precondition: the arguments outlive this object.
    read_executor(const traffic_state& state, const machines::replica_selector& selector,
                  const machines::read_attempts& attempts, contracts::retry_budget& budget,
                  zone_name own_zone);

    [[nodiscard]] boost::asio::awaitable<links::caller_answer> run(const request_context& context);

private:
    struct attempt_result {
        std::optional<links::caller_answer> answer;
        machines::read_event event = machines::read_event::ready;
    };

    [[nodiscard]] machines::read_plan plan(const request_context& context);
    [[nodiscard]] boost::asio::awaitable<attempt_result> send(const request_context& context,
                                                              machines::read_candidate candidate);
    [[nodiscard]] attempt_result evaluate(const request_context& context, const server_name& server,
                                          links::backend_result result) const;

    const traffic_state& m_state;
    const machines::replica_selector& m_selector;
    const machines::read_attempts& m_attempts;
    contracts::retry_budget& m_budget;
    zone_name m_own_zone;
    std::uint64_t m_tie_break_seed = 0;
};

} // namespace oriole::app
