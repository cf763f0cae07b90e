#include <utility>

#include "app/internal/write_execution.h"

#include "app/internal/pause.h"

#include <glog/logging.h>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using links::answer_code;
using links::caller_answer;
using machines::write_action;
using machines::write_event;
using machines::write_step;

/// Longest wait for confirmations before the decision is made again: a server that neither answers
/// nor refuses must not hold a write until its deadline while a new primary is already there.
constexpr std::chrono::milliseconds confirmation_round{250};
/// Bound of one exchange with the primary, for the same reason.
constexpr std::chrono::milliseconds attempt_limit{500};

bool is_cancelled(const std::vector<machines::statement_result>& results) {
    return results.size() == 1 && results.front().row == cancelled_row;
}

} // namespace

write_execution::write_execution(traffic_state& state, const machines::write_attempts& attempts,
                                 contracts::retry_budget& budget, confirmation_links& confirmations,
                                 control_reports& reports)
    : m_state(state),
      m_attempts(attempts),
      m_budget(budget),
      m_confirmations(confirmations),
      m_reports(reports) {}

asio::awaitable<caller_answer> write_execution::run(const request_scope& scope,
                                                    std::string request_id) {
    co_await m_state.wait_while_writes_held(scope.database->name(), scope.deadline);
    work job{scope, scope.request.statements, {}, {}};
    job.progress.request_id = std::move(request_id);
    job.progress.deadline = scope.deadline;
    co_return co_await drive(job, machines::write_ready{});
}

asio::awaitable<caller_answer>
write_execution::settle_commit(const request_scope& scope, std::string request_id,
                               std::uint64_t term, server_name server, write_event event,
                               std::vector<machines::statement_result> results) {
    work job{scope, {}, {}, std::move(results)};
    job.progress.request_id = std::move(request_id);
    job.progress.deadline = scope.deadline;
    job.progress.resendable = false;
    job.progress.term = term;
    job.progress.server = std::move(server);
    co_return co_await drive(job, event);
}

asio::awaitable<caller_answer> write_execution::look_up(const request_scope& scope,
                                                        std::string request_id, bool cancel) {
    if (cancel) {
        machines::statement marker;
        marker.row = std::string(cancelled_row);
        work job{scope, {marker}, {}, {}};
        job.progress.request_id = std::move(request_id);
        job.progress.deadline = scope.deadline;
        co_return co_await drive(job, machines::write_ready{});
    }
    work job{scope, {}, {}, {}};
    job.progress.request_id = std::move(request_id);
    job.progress.deadline = scope.deadline;
    job.progress.resendable = false;
    job.progress.term = m_state.view(scope.database->name()).term;
    // A lookup starts like a write whose answer was lost.
    caller_answer found = co_await drive(job, machines::write_link_failed{true});
    if (found.result == outcome::done) {
        co_return found;
    }
    // The id may belong to a request that is still on its way, so its absence proves nothing.
    found = refusal(answer_code::not_found, "the request id has not been recorded yet");
    found.result = outcome::unknown;
    co_return found;
}

asio::awaitable<caller_answer> write_execution::drive(work& job, write_event event) {
    while (true) {
        const auto& view = m_state.view(job.scope.database->name());
        auto [progress, step] = m_attempts.next(
            job.progress, event, view, job.scope.database->majority(), steady_clock().now());
        job.progress = progress;
        if (step.action == write_action::answer) {
            co_return answer(job, step);
        }
        if (step.uses_retry_budget) {
            // Without budget the step is delayed rather than refused: the write may have run, so
            // its outcome is still owed to the caller.
            const bool granted = m_budget.take_retry(job.scope.caller.account());
            co_await pause(m_budget.back_off(granted ? 0 : progress.retries));
        }
        event = co_await perform(job, std::move(step));
    }
}

asio::awaitable<write_event> write_execution::perform(work& job, write_step step) {
    if (step.action == write_action::wait) {
        const std::uint64_t known = m_state.view(job.scope.database->name()).term;
        co_await m_state.wait_for_newer_term(job.scope.database->name(), known, step.wait);
        co_return machines::write_ready{};
    }
    if (step.action == write_action::confirm) {
        co_return co_await confirm(job, std::move(step));
    }
    co_return co_await send(job, std::move(step));
}

asio::awaitable<write_event> write_execution::send(work& job, write_step step) {
    const auto pool = job.scope.site->pools.find(step.server);
    if (pool == job.scope.site->pools.end()) {
        co_return machines::write_refused{};
    }
    auto context = job.scope.call_context();
    context.deadline = std::min(context.deadline, steady_clock().now() + attempt_limit);
    links::backend_call call;
    if (step.action == write_action::look_up) {
        call = links::lookup_request{step.term, job.progress.request_id};
    } else {
        links::execute_request execute;
        execute.mode = links::execute_mode::write;
        execute.term = step.term;
        execute.statements = job.statements;
        execute.request_id = job.progress.request_id;
        call = std::move(execute);
    }
    write_event event = machines::write_refused{};
    try {
        auto result = co_await pool->second->call(std::move(call), context);
        event = evaluate(job, std::move(result), step.server);
    } catch (const links::not_admitted&) {
        event = machines::write_refused{};
    } catch (const links::link_error& error) {
        event = machines::write_link_failed{error.sent()};
    }
    co_return event;
}

write_event write_execution::evaluate(work& job, links::backend_result result,
                                      const server_name& server) {
    if (auto* executed = std::get_if<links::execute_answer>(&result)) {
        job.results = std::move(executed->results);
        return machines::write_executed{executed->position, executed->repeated};
    }
    if (auto* found = std::get_if<links::lookup_answer>(&result)) {
        job.results = std::move(found->results);
        return machines::write_looked_up{found->found, found->position};
    }
    if (const auto* refused = std::get_if<links::refusal_answer>(&result)) {
        if (refused->term > m_state.view(job.scope.database->name()).term) {
            m_reports.newer_term_seen(job.scope.database->name(), refused->term);
        }
        return machines::write_refused{};
    }
    LOG(WARNING) << "backend server answered a write with another kind of message server="
                 << server;
    return machines::write_link_failed{true};
}

asio::awaitable<write_event> write_execution::confirm(const work& job, write_step step) {
    auto servers = job.scope.servers_except(step.server);
    const auto deadline = std::min(job.scope.deadline, steady_clock().now() + confirmation_round);
    const auto result = co_await m_confirmations.confirm(std::move(servers), step.position,
                                                         step.confirmations, deadline);
    if (result == confirmation::confirmed) {
        co_return machines::write_confirmed{};
    }
    co_return machines::write_not_confirmed{result == confirmation::fenced};
}

caller_answer write_execution::answer(work& job, const write_step& step) const {
    if (step.result == outcome::done && is_cancelled(job.results)) {
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
        const auto slash = job.progress.request_id.find('/');
        result.request_id = job.progress.request_id.substr(slash + 1);
        return result;
    }
    result.results = std::move(job.results);
    result.served_by = machines::server_role::primary;
    result.session =
        job.scope.request.session.with(job.scope.database->name(), job.progress.position);
    return result;
}

} // namespace oriole::app
