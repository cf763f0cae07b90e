#pragma once

#include "app/internal/control_reports.h"
#include "app/internal/replication_confirmer.h"
#include "app/internal/request_context.h"
#include "app/internal/traffic_state.h"
#include "contracts/retry_budget.h"
#include "links/types/caller_messages.h"
#include "machines/write_attempts.h"

#include <string>
#include <vector>

namespace oriole::app {

/// `cancelled_row` is the row written under a request id that was cancelled before it ran. Callers
/// cannot access rows whose names start with `reserved_row_prefix`.
inline constexpr std::string_view reserved_row_prefix = "oriole.";
inline constexpr std::string_view cancelled_row = "oriole.cancelled";

/// Executes writes, commits and outcome lookups. write_attempts decides each step; this class
/// performs the steps until the outcome is known or the deadline has passed. Used on one traffic
/// thread.
class write_executor {
public:
    /// Precondition: the arguments outlive this object.
    write_executor(traffic_state& state, const machines::write_attempts& attempts,
                   contracts::retry_budget& budget, replication_confirmer& confirmations,
                   control_reports& reports);

    /// Executes the request's statements at most once; `request_id` identifies repeated attempts.
    [[nodiscard]] boost::asio::awaitable<links::caller_answer> run(const request_context& context,
                                                                   std::string request_id);

    /// Determines the outcome of a commit that was sent in `term` and ended with `event`, by
    /// confirming it with replicas or looking its request id up.
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    resolve_commit(const request_context& context, std::string request_id, std::uint64_t term,
                   server_name server, machines::write_event event,
                   std::vector<machines::statement_result> results);

    /// Returns the outcome of an earlier request. With `cancel`, an id that has not been recorded
    /// is recorded as cancelled, so that a delayed request with this id cannot run afterwards.
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    look_up(const request_context& context, std::string request_id, bool cancel);

private:
    struct write_operation {
        const request_context& context;
        std::vector<machines::statement> statements;
        machines::write_progress progress;
        std::vector<machines::statement_result> results;
    };

    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    run_steps(write_operation& operation, machines::write_event event);
    [[nodiscard]] boost::asio::awaitable<machines::write_event>
    execute_step(write_operation& operation, machines::write_step step);
    [[nodiscard]] boost::asio::awaitable<machines::write_event> send(write_operation& operation,
                                                                     machines::write_step step);
    [[nodiscard]] boost::asio::awaitable<machines::write_event>
    confirm(const write_operation& operation, machines::write_step step);
    [[nodiscard]] machines::write_event
    evaluate(write_operation& operation, links::backend_result result, const server_name& server);
    [[nodiscard]] links::caller_answer answer(write_operation& operation,
                                              const machines::write_step& step) const;

    traffic_state& m_state;
    const machines::write_attempts& m_attempts;
    contracts::retry_budget& m_budget;
    replication_confirmer& m_confirmations;
    control_reports& m_reports;
};

} // namespace oriole::app
