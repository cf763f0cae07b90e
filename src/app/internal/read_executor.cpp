#include <utility>

#include "app/internal/read_executor.h"

#include "app/internal/sleep_for.h"

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using links::answer_code;
using links::caller_answer;
using machines::read_action;
using machines::read_event;

machines::server_condition make_server_condition(const site_context& site,
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

read_event to_read_event(links::refusal_reason reason) {
    if (reason == links::refusal_reason::history_lost) {
        return read_event::history_lost;
    }
    return read_event::refused;
}

} // namespace

read_executor::read_executor(const traffic_state& state, const machines::replica_selector& selector,
                             const machines::read_attempts& attempts,
                             contracts::retry_budget& budget, zone_name own_zone)
    : m_state(state),
      m_selector(selector),
      m_attempts(attempts),
      m_budget(budget),
      m_own_zone(std::move(own_zone)) {}

asio::awaitable<caller_answer> read_executor::run(const request_context& context) {
    auto candidates = plan(context);
    machines::read_progress progress;
    progress.deadline = context.deadline;
    read_event event = read_event::ready;
    while (true) {
        auto [next_progress, step] =
            m_attempts.next(progress, event, candidates, steady_clock().now());
        progress = next_progress;
        if (step.uses_retry_budget && !m_budget.take_retry(context.caller.account())) {
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
            co_await sleep_for(step.wait);
            candidates = plan(context);
            event = read_event::ready;
            continue;
        }
        attempt_result attempt = co_await send(context, step.candidate);
        if (attempt.answer) {
            co_return std::move(*attempt.answer);
        }
        event = attempt.event;
    }
}

machines::read_plan read_executor::plan(const request_context& context) {
    machines::read_query query;
    query.requirement.position = context.request.session.position(context.database->name());
    query.requirement.max_age = context.service->max_age();
    query.own_zone = m_own_zone;
    query.now = steady_clock().now();
    query.tie_break_seed = ++m_tie_break_seed;
    for (const auto& name : context.database->servers()) {
        const auto server = context.site->objects.servers().find(name);
        if (server != context.site->objects.servers().end()) {
            query.servers[name] = make_server_condition(*context.site, server->second);
        }
    }
    return m_selector.rank(m_state.view(context.database->name()), query);
}

asio::awaitable<read_executor::attempt_result>
read_executor::send(const request_context& context, machines::read_candidate candidate) {
    if (candidate.wait.count() > 0) {
        co_await sleep_for(candidate.wait);
    }
    const auto pool = context.site->pools.at(candidate.server);
    links::execute_request call;
    call.statements = context.request.statements;
    call.required = context.request.session.position(context.database->name());
    call.max_age = context.service->max_age();
    attempt_result attempt;
    try {
        links::backend_call message = std::move(call);
        auto result = co_await pool->call(std::move(message), context.call_context());
        attempt = evaluate(context, candidate.server, std::move(result));
    } catch (const links::not_admitted&) {
        // The request was not sent, so trying the next server does not use the retry budget.
        attempt.event = read_event::refused;
    } catch (const links::link_error& error) {
        attempt.event = error.sent() ? read_event::failed_sent : read_event::failed_unsent;
    }
    co_return attempt;
}

read_executor::attempt_result read_executor::evaluate(const request_context& context,
                                                      const server_name& server,
                                                      links::backend_result result) const {
    attempt_result attempt;
    if (const auto* refused = std::get_if<links::refusal_answer>(&result)) {
        if (refused->reason == links::refusal_reason::malformed) {
            attempt.answer = refusal(answer_code::malformed, refused->message);
        }
        attempt.event = to_read_event(refused->reason);
        return attempt;
    }
    auto* executed = std::get_if<links::execute_answer>(&result);
    if (executed == nullptr || executed->results.size() != context.request.statements.size()) {
        attempt.event = read_event::failed_sent;
        return attempt;
    }
    caller_answer answer;
    answer.result = outcome::done;
    answer.results = std::move(executed->results);
    answer.session = context.request.session;
    const bool primary = m_state.view(context.database->name()).primary == server;
    answer.served_by = primary ? machines::server_role::primary : machines::server_role::replica;
    attempt.answer = std::move(answer);
    return attempt;
}

} // namespace oriole::app
