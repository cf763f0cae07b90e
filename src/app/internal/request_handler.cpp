#include <utility>

#include "app/internal/request_handler.h"

#include <algorithm>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using contracts::authorization_refusal;
using links::answer_code;
using links::caller_answer;
using links::caller_call;
using links::caller_request;

caller_answer make_refusal(authorization_refusal reason) {
    const std::string text(contracts::to_string(reason));
    switch (reason) {
    case authorization_refusal::unknown_service:
        return refusal(answer_code::not_found, text);
    case authorization_refusal::service_not_granted:
        return refusal(answer_code::forbidden, text);
    default:
        break;
    }
    caller_answer answer = refusal(answer_code::unauthenticated, text);
    // Close the connection, so that the caller has to reconnect with a valid key.
    answer.close = reason == authorization_refusal::withdrawn_key;
    return answer;
}

bool uses_transaction(caller_call call) {
    return call == caller_call::add || call == caller_call::commit || call == caller_call::rollback;
}

bool uses_reserved_row(const machines::statement& statement) {
    return statement.row.starts_with(reserved_row_prefix);
}

} // namespace

request_metrics::request_metrics(metric_registry& registry)
    : done(registry.get("requests_total{outcome=\"done\"}")),
      not_run(registry.get("requests_total{outcome=\"not-run\"}")),
      unknown(registry.get("requests_total{outcome=\"unknown\"}")),
      refused_by_rate(registry.get("requests_refused_by_rate_total")),
      reads_by_primary(registry.get("reads_total{server=\"primary\"}")),
      reads_by_replica(registry.get("reads_total{server=\"replica\"}")) {}

asio::awaitable<caller_answer> request_handler::handle(caller_request request,
                                                       links::caller_identity& identity) {
    auto admitted = admit(std::move(request), identity);
    if (auto* refused = std::get_if<caller_answer>(&admitted)) {
        count(nullptr, *refused);
        co_return std::move(*refused);
    }
    const request_context context = std::move(std::get<request_context>(admitted));
    caller_answer answer = co_await execute(context);
    count(&context, answer);
    co_return answer;
}

request_handler::context_or_refusal request_handler::admit(caller_request request,
                                                           links::caller_identity& identity) {
    auto authorized = authorize(std::move(request), identity);
    if (std::holds_alternative<caller_answer>(authorized)) {
        return authorized;
    }
    const auto& context = std::get<request_context>(authorized);
    if (auto refused = check_statements(context)) {
        return std::move(*refused);
    }
    if (auto refused = check_freshness(context)) {
        return std::move(*refused);
    }
    if (auto refused = check_rate(context)) {
        return std::move(*refused);
    }
    return authorized;
}

request_handler::context_or_refusal
request_handler::authorize(caller_request request, links::caller_identity& identity) const {
    request_context context;
    context.site = m_dependencies.state.site();
    if (!context.site) {
        return refusal(answer_code::unavailable, "the instance has no configuration yet");
    }
    std::optional<std::string_view> key;
    if (!request.key.empty()) {
        key = request.key;
    }
    if (uses_transaction(request.call)) {
        const auto open = m_dependencies.transactions.find(request.transaction);
        const auto authentication = context.site->keys->authenticate(key);
        if (!authentication.granted()) {
            return make_refusal(*authentication.refusal());
        }
        if (!open || open->caller.account() != authentication.account()) {
            return refusal(answer_code::not_found, "there is no such open transaction");
        }
        request.service = open->service;
    }
    context.caller = context.site->keys->authorize(key, request.service);
    if (!context.caller.granted()) {
        return make_refusal(*context.caller.refusal());
    }
    identity.key = context.caller.key();
    const auto service = context.site->objects.services().find(request.service);
    if (service == context.site->objects.services().end()) {
        return refusal(answer_code::not_found, "the service does not exist");
    }
    context.service = &service->second;
    context.database = &context.site->objects.databases().at(context.service->database());
    const auto wait = std::min(request.deadline.value_or(context.service->deadline()),
                               context.service->deadline());
    context.deadline = steady_clock().now() + wait;
    request.key.clear();
    context.request = std::move(request);
    return context;
}

std::optional<caller_answer>
request_handler::check_statements(const request_context& context) const {
    const auto& statements = context.request.statements;
    const bool read_only = context.service->access() == contracts::access_mode::read;
    const auto writes = [](const machines::statement& s) { return s.writes(); };
    if (read_only && std::any_of(statements.begin(), statements.end(), writes)) {
        return refusal(answer_code::malformed, "the service takes only reads");
    }
    const caller_call call = context.request.call;
    if (read_only && call != caller_call::run) {
        return refusal(answer_code::malformed, "the service takes only reads");
    }
    if (std::any_of(statements.begin(), statements.end(), uses_reserved_row)) {
        return refusal(answer_code::malformed, "rows that start with 'oriole.' are reserved");
    }
    return std::nullopt;
}

std::optional<caller_answer>
request_handler::check_freshness(const request_context& context) const {
    if (context.service->when_stale() == contracts::stale_policy::serve) {
        return std::nullopt;
    }
    const auto age = steady_clock().now() - m_dependencies.state.config_confirmed_at();
    if (age <= context.service->stale_after()) {
        return std::nullopt;
    }
    return refusal(answer_code::unavailable,
                   "the instance is cut off and cannot tell whether the key is still granted");
}

std::optional<caller_answer> request_handler::check_rate(const request_context& context) {
    if (context.caller.is_anonymous()) {
        return std::nullopt;
    }
    const double weight = context.service->weight();
    m_dependencies.accounting.add_demand(context.caller.account(), weight);
    const auto spent =
        m_dependencies.limiter.try_spend(context.caller.account(), weight, steady_clock().now());
    if (spent.is_admitted()) {
        m_dependencies.budget.add_request(context.caller.account());
        return std::nullopt;
    }
    m_dependencies.metrics.refused_by_rate.add();
    caller_answer answer = refusal(answer_code::over_rate, "the account's rate is used up");
    if (spent.retry_after()) {
        answer.retry_after = std::chrono::ceil<std::chrono::milliseconds>(*spent.retry_after());
    }
    return answer;
}

asio::awaitable<caller_answer> request_handler::execute(const request_context& context) {
    const caller_request& request = context.request;
    if (uses_transaction(request.call)) {
        const auto open = m_dependencies.transactions.find(request.transaction);
        co_return co_await m_dependencies.transactions.handle_request(context, open);
    }
    if (request.call == caller_call::begin) {
        co_return co_await m_dependencies.transactions.begin(context);
    }
    if (request.call == caller_call::lookup || request.call == caller_call::cancel) {
        const bool cancel = request.call == caller_call::cancel;
        co_return co_await m_dependencies.writes.look_up(
            context, context.recorded_id(request.request_id), cancel);
    }
    if (context.service->access() == contracts::access_mode::read) {
        co_return co_await m_dependencies.reads.run(context);
    }
    const std::string id =
        request.request_id.empty() ? make_unique_id(m_dependencies.random) : request.request_id;
    co_return co_await m_dependencies.writes.run(context, context.recorded_id(id));
}

void request_handler::count(const request_context* context, const caller_answer& answer) {
    auto& metrics = m_dependencies.metrics;
    switch (answer.result) {
    case outcome::done:
        metrics.done.add();
        break;
    case outcome::not_run:
        metrics.not_run.add();
        break;
    case outcome::unknown:
        metrics.unknown.add();
        break;
    }
    if (context != nullptr && answer.result == outcome::done) {
        const auto account =
            context->caller.is_anonymous() ? account_name() : context->caller.account();
        m_dependencies.accounting.add_usage(
            {account, context->service->name(), context->service->access()},
            context->service->weight());
    }
    const bool read =
        context != nullptr && context->service->access() == contracts::access_mode::read;
    if (!read || !answer.served_by) {
        return;
    }
    const bool primary = *answer.served_by == machines::server_role::primary;
    (primary ? metrics.reads_by_primary : metrics.reads_by_replica).add();
}

} // namespace oriole::app
