#include <utility>

#include "app/internal/write_executor.h"

#include "app/internal/sleep_for.h"

#include <glog/logging.h>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using links::answer_code;
using links::caller_answer;
using machines::write_action;
using machines::write_event;
using machines::write_step;

/// Maximum wait for replica confirmations before the next step is decided again. Without it, a
/// server that does not respond would block a write until its deadline although a new primary has
/// already been promoted.
constexpr std::chrono::milliseconds confirmation_timeout{250};
/// Time-out of one call to the primary, so that an unresponsive primary does not block a write
/// until its deadline.
constexpr std::chrono::milliseconds attempt_timeout{500};

bool is_cancelled(const std::vector<machines::statement_result>& results) {
    return results.size() == 1 && results.front().row == cancelled_row;
}

} // namespace

write_executor::write_executor(traffic_state& state, const machines::write_attempts& attempts,
                               contracts::retry_budget& budget,
                               replication_confirmer& confirmations, control_reports& reports)
    : m_state(state),
      m_attempts(attempts),
      m_budget(budget),
      m_confirmations(confirmations),
      m_reports(reports) {}

asio::awaitable<caller_answer> write_executor::run(const request_context& context,
                                                   std::string request_id) {
    co_await m_state.wait_while_writes_held(context.database->name(), context.deadline);
    write_operation operation{context, context.request.statements, {}, {}};
    operation.progress.request_id = std::move(request_id);
    operation.progress.deadline = context.deadline;
    co_return co_await run_steps(operation, machines::write_ready{});
}

asio::awaitable<caller_answer>
write_executor::resolve_commit(const request_context& context, std::string request_id,
                               std::uint64_t term, server_name server, write_event event,
                               std::vector<machines::statement_result> results) {
    write_operation operation{context, {}, {}, std::move(results)};
    operation.progress.request_id = std::move(request_id);
    operation.progress.deadline = context.deadline;
    operation.progress.resendable = false;
    operation.progress.term = term;
    operation.progress.server = std::move(server);
    co_return co_await run_steps(operation, event);
}

asio::awaitable<caller_answer> write_executor::look_up(const request_context& context,
                                                       std::string request_id, bool cancel) {
    if (cancel) {
        machines::statement marker;
        marker.row = std::string(cancelled_row);
        write_operation operation{context, {marker}, {}, {}};
        operation.progress.request_id = std::move(request_id);
        operation.progress.deadline = context.deadline;
        co_return co_await run_steps(operation, machines::write_ready{});
    }
    write_operation operation{context, {}, {}, {}};
    operation.progress.request_id = std::move(request_id);
    operation.progress.deadline = context.deadline;
    operation.progress.resendable = false;
    operation.progress.term = m_state.view(context.database->name()).term;
    // Handled like a write whose answer was lost, which is looked up by its request id.
    caller_answer found = co_await run_steps(operation, machines::write_link_failed{true});
    if (found.result == outcome::done) {
        co_return found;
    }
    // A request with this id may still be in transit, so a missing record does not mean that it
    // never runs.
    found = refusal(answer_code::not_found, "the request id has not been recorded yet");
    found.result = outcome::unknown;
    co_return found;
}

asio::awaitable<caller_answer> write_executor::run_steps(write_operation& operation,
                                                         write_event event) {
    while (true) {
        const auto& view = m_state.view(operation.context.database->name());
        auto [progress, step] =
            m_attempts.next(operation.progress, event, view, operation.context.database->majority(),
                            steady_clock().now());
        operation.progress = progress;
        if (step.action == write_action::answer) {
            co_return answer(operation, step);
        }
        if (step.uses_retry_budget) {
            // When the retry budget is used up, the retry is delayed rather than refused: the write
            // may have run, and the caller still needs its outcome.
            const bool granted = m_budget.take_retry(operation.context.caller.account());
            co_await sleep_for(m_budget.back_off(granted ? 0 : progress.retries));
        }
        event = co_await execute_step(operation, std::move(step));
    }
}

asio::awaitable<write_event> write_executor::execute_step(write_operation& operation,
                                                          write_step step) {
    if (step.action == write_action::wait) {
        const std::uint64_t known = m_state.view(operation.context.database->name()).term;
        co_await m_state.wait_for_newer_term(operation.context.database->name(), known, step.wait);
        co_return machines::write_ready{};
    }
    if (step.action == write_action::confirm) {
        co_return co_await confirm(operation, std::move(step));
    }
    co_return co_await send(operation, std::move(step));
}

asio::awaitable<write_event> write_executor::send(write_operation& operation, write_step step) {
    const auto pool = operation.context.site->pools.find(step.server);
    if (pool == operation.context.site->pools.end()) {
        co_return machines::write_refused{};
    }
    auto context = operation.context.call_context();
    context.deadline = std::min(context.deadline, steady_clock().now() + attempt_timeout);
    links::backend_call call;
    if (step.action == write_action::look_up) {
        call = links::lookup_request{step.term, operation.progress.request_id};
    } else {
        links::execute_request execute;
        execute.mode = links::execute_mode::write;
        execute.term = step.term;
        execute.statements = operation.statements;
        execute.request_id = operation.progress.request_id;
        call = std::move(execute);
    }
    write_event event = machines::write_refused{};
    try {
        auto result = co_await pool->second->call(std::move(call), context);
        event = evaluate(operation, std::move(result), step.server);
    } catch (const links::not_admitted&) {
        event = machines::write_refused{};
    } catch (const links::link_error& error) {
        event = machines::write_link_failed{error.sent()};
    }
    co_return event;
}

write_event write_executor::evaluate(write_operation& operation, links::backend_result result,
                                     const server_name& server) {
    if (auto* executed = std::get_if<links::execute_answer>(&result)) {
        operation.results = std::move(executed->results);
        return machines::write_executed{executed->position, executed->repeated};
    }
    if (auto* found = std::get_if<links::lookup_answer>(&result)) {
        operation.results = std::move(found->results);
        return machines::write_looked_up{found->found, found->position};
    }
    if (const auto* refused = std::get_if<links::refusal_answer>(&result)) {
        if (refused->term > m_state.view(operation.context.database->name()).term) {
            m_reports.newer_term_seen(operation.context.database->name(), refused->term);
        }
        return machines::write_refused{};
    }
    LOG(WARNING) << "backend server sent an unexpected type of answer to a write server=" << server;
    return machines::write_link_failed{true};
}

asio::awaitable<write_event> write_executor::confirm(const write_operation& operation,
                                                     write_step step) {
    auto servers = operation.context.servers_except(step.server);
    const auto deadline =
        std::min(operation.context.deadline, steady_clock().now() + confirmation_timeout);
    const auto result = co_await m_confirmations.confirm(std::move(servers), step.position,
                                                         step.confirmations, deadline);
    if (result == confirmation_result::confirmed) {
        co_return machines::write_confirmed{};
    }
    co_return machines::write_not_confirmed{result == confirmation_result::fenced};
}

caller_answer write_executor::answer(write_operation& operation, const write_step& step) const {
    if (step.result == outcome::done && is_cancelled(operation.results)) {
        return refusal(answer_code::conflict, "the request id has been cancelled and did not run");
    }
    if (step.result == outcome::not_run) {
        return refusal(answer_code::unavailable, "no primary could run the request in time");
    }
    caller_answer result;
    result.result = step.result;
    if (step.result == outcome::unknown) {
        result.code = answer_code::outcome_unknown;
        result.reason = "the request may have run; look its request id up";
        const auto slash = operation.progress.request_id.find('/');
        result.request_id = operation.progress.request_id.substr(slash + 1);
        return result;
    }
    result.results = std::move(operation.results);
    result.served_by = machines::server_role::primary;
    result.session = operation.context.request.session.with(operation.context.database->name(),
                                                            operation.progress.position);
    return result;
}

} // namespace oriole::app
