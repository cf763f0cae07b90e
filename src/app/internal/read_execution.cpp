#include <utility>

#include "app/internal/read_execution.h"

#include "app/internal/pause.h"

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using links::answer_code;
using links::caller_answer;
using machines::read_action;
using machines::read_event;

machines::server_condition condition_of(const site_context& site,
                                        const machines::backend_server& server) {
    machines::server_condition condition;
    condition.zone = server.zone();
    condition.in_service = in_service(site.objects, server);
    const auto pool = site.pools.find(server.name());
    if (pool == site.pools.end()) {
        condition.in_service = false;
        return condition;
    }
    const auto status = pool->second->status();
    condition.circuit_open = status.circuit_open;
    condition.latency = status.latency;
    if (status.concurrency_limit > 0) {
        condition.load = static_cast<double>(status.queued + status.in_flight) /
                         static_cast<double>(status.concurrency_limit);
    }
    return condition;
}

read_event event_of(links::refusal_reason reason) {
    if (reason == links::refusal_reason::history_lost) {
        return read_event::history_lost;
    }
    return read_event::refused;
}

} // namespace

read_execution::read_execution(const traffic_state& state,
                               const machines::replica_selector& selector,
                               const machines::read_attempts& attempts,
                               contracts::retry_budget& budget, zone_name own_zone)
    : m_state(state),
      m_selector(selector),
      m_attempts(attempts),
      m_budget(budget),
      m_own_zone(std::move(own_zone)) {}

asio::awaitable<caller_answer> read_execution::run(const request_scope& scope) {
    auto candidates = plan(scope);
    machines::read_progress progress;
    progress.deadline = scope.deadline;
    read_event event = read_event::ready;
    while (true) {
        auto [next_progress, step] =
            m_attempts.next(progress, event, candidates, steady_clock().now());
        progress = next_progress;
        if (step.uses_retry_budget && !m_budget.take_retry(scope.caller.account())) {
            co_return refusal(answer_code::unavailable, "the account's retry budget is used up");
        }
        if (step.action == read_action::give_up) {
            co_return refusal(answer_code::unavailable, "no server could answer in time");
        }
        if (step.action == read_action::report_history_lost) {
            co_return refusal(answer_code::conflict,
                              "the session's history is not in the database any more");
        }
        if (step.action == read_action::report_outcome_unknown) {
            caller_answer answer = refusal(answer_code::outcome_unknown, "the answer was lost");
            answer.result = outcome::unknown;
            co_return answer;
        }
        if (step.action == read_action::rank_again) {
            co_await pause(step.wait);
            candidates = plan(scope);
            event = read_event::ready;
            continue;
        }
        attempt tried = co_await send(scope, step.candidate);
        if (tried.answer) {
            co_return std::move(*tried.answer);
        }
        event = tried.event;
    }
}

machines::read_plan read_execution::plan(const request_scope& scope) {
    machines::read_query query;
    query.requirement.position = scope.request.session.position(scope.database->name());
    query.requirement.max_age = scope.service->max_age();
    query.own_zone = m_own_zone;
    query.now = steady_clock().now();
    query.tie_break_seed = ++m_spread;
    for (const auto& name : scope.database->servers()) {
        const auto server = scope.site->objects.servers().find(name);
        if (server != scope.site->objects.servers().end()) {
            query.servers[name] = condition_of(*scope.site, server->second);
        }
    }
    return m_selector.rank(m_state.view(scope.database->name()), query);
}

asio::awaitable<read_execution::attempt> read_execution::send(const request_scope& scope,
                                                              machines::read_candidate candidate) {
    if (candidate.wait.count() > 0) {
        co_await pause(candidate.wait);
    }
    const auto pool = scope.site->pools.at(candidate.server);
    links::execute_request call;
    call.statements = scope.request.statements;
    call.required = scope.request.session.position(scope.database->name());
    call.max_age = scope.service->max_age();
    attempt tried;
    try {
        links::backend_call message = std::move(call);
        auto result = co_await pool->call(std::move(message), scope.call_context());
        tried = evaluate(scope, candidate.server, std::move(result));
    } catch (const links::not_admitted&) {
        // The server did no work, so the next candidate is tried at no charge.
        tried.event = read_event::refused;
    } catch (const links::link_error& error) {
        tried.event = error.sent() ? read_event::failed_sent : read_event::failed_unsent;
    }
    co_return tried;
}

read_execution::attempt read_execution::evaluate(const request_scope& scope,
                                                 const server_name& server,
                                                 links::backend_result result) const {
    attempt tried;
    if (const auto* refused = std::get_if<links::refusal_answer>(&result)) {
        if (refused->reason == links::refusal_reason::malformed) {
            tried.answer = refusal(answer_code::malformed, refused->message);
        }
        tried.event = event_of(refused->reason);
        return tried;
    }
    auto* executed = std::get_if<links::execute_answer>(&result);
    if (executed == nullptr || executed->results.size() != scope.request.statements.size()) {
        tried.event = read_event::failed_sent;
        return tried;
    }
    caller_answer answer;
    answer.result = outcome::done;
    answer.results = std::move(executed->results);
    answer.session = scope.request.session;
    const bool primary = m_state.view(scope.database->name()).primary == server;
    answer.served_by = primary ? machines::server_role::primary : machines::server_role::replica;
    tried.answer = std::move(answer);
    return tried;
}

} // namespace oriole::app
