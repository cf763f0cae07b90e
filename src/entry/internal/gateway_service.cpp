#include <utility>

#include "entry/internal/gateway_service.h"

#include "entry/forward_codec.h"
#include "entry/internal/gateway_link.h"
#include "entry/internal/unfinished_statement.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr clock::duration idle_check_interval = 500ms;
/// Idle limit when the configuration sets none. It is needed because the instance that opened the
/// transaction may have stopped without a rollback.
constexpr clock::duration default_idle_limit = 30s;
/// Largest encoded outcome. Leaves room for the fields of the message that carries it.
constexpr std::size_t max_outcome_bytes = links::max_peer_message_bytes - 4096;

/// Scope guard that keeps a statement in the set of running ones during its lifetime.
class running_statement {
public:
    using handover_set = std::set<std::shared_ptr<routing::statement_handover>>;

    running_statement(std::shared_ptr<handover_set> running,
                      std::shared_ptr<routing::statement_handover> handover)
        : m_running(std::move(running)), m_handover(std::move(handover)) {
        m_running->insert(m_handover);
    }

    ~running_statement() { m_running->erase(m_handover); }

    [[nodiscard]] bool withdrawn_unsent() const noexcept { return m_handover->withdrawn_unsent(); }

    running_statement(const running_statement&) = delete;
    running_statement& operator=(const running_statement&) = delete;

private:
    std::shared_ptr<handover_set> m_running;
    std::shared_ptr<routing::statement_handover> m_handover;
};

/// Throws links::peer_call_refused.
forwarded_statement decode_call(const std::string& params) {
    try {
        return decode_forwarded(params);
    } catch (const std::exception& unreadable) {
        throw links::peer_call_refused(unreadable.what());
    }
}

forwarded_outcome outcome_from(routing::run_outcome run) {
    forwarded_outcome outcome;
    outcome.answer = std::move(run.answer);
    outcome.server = std::move(run.server);
    outcome.attempts = run.attempts;
    outcome.routing_basis = std::move(run.routing_basis);
    outcome.required = run.required;
    outcome.transaction_finished = run.transaction_finished;
    return outcome;
}

unfinished_statement sent_statement(const forwarded_statement& forwarded) {
    unfinished_statement statement;
    statement.may_have_been_sent = true;
    statement.in_transaction = forwarded.phase != transaction_phase::autocommit;
    statement.commits = forwarded.statement.kind == sessions::statement_kind::commit;
    statement.writes = forwarded.decision.writes;
    statement.transaction_wrote = true;
    return statement;
}

/// The outcome of a statement whose answer is too long for a message. Precondition: its transaction
/// has ended.
forwarded_outcome without_answer(forwarded_outcome outcome, const unfinished_statement& statement) {
    outcome.answer_too_long = true;
    outcome.transaction = 0;
    outcome.transaction_finished = true;
    if (outcome.answer.code == sessions::answer_code::ok) {
        outcome.answer.code = code_without_result(statement);
    }
    outcome.answer.rows.clear();
    outcome.answer.signature.clear();
    return outcome;
}

} // namespace

gateway_service::gateway_service(asio::any_io_executor executor, const endpoint& listen,
                                 traffic_context& context)
    : m_executor(std::move(executor)),
      m_context(context),
      m_server(links::make_peer_server(m_executor, listen, "gateway", fleet_secret(),
                                       {context.resources(), machines::client_port::gateway})) {
    m_server->add_method(run_method, [this](std::string text) { return run(std::move(text)); });
    m_server->add_method(roll_back_method,
                         [this](std::string text) { return roll_back(std::move(text)); });
    m_server->add_method(admit_method, [this](std::string text) { return admit(std::move(text)); });
}

asio::awaitable<void> gateway_service::end_idle_transactions() {
    asio::steady_timer timer(m_executor);
    while (true) {
        timer.expires_after(idle_check_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto& config = m_context.view()->config;
        const auto configured =
            config == nullptr ? clock::duration::zero() : config->transaction_idle;
        const auto limit = configured > clock::duration::zero() ? configured : default_idle_limit;
        const auto now = steady_clock().now();
        for (auto at = m_transactions.begin(); at != m_transactions.end();) {
            const bool idle_too_long = now - at->second.used > limit;
            if (idle_too_long) {
                m_context.log().write(log_entry("transaction_idle")
                                          .add("server", at->second.transaction->server().str())
                                          .add("transaction", at->first)
                                          .add("outcome", "rolled_back"));
                at->second.transaction->roll_back();
            }
            at = idle_too_long ? m_transactions.erase(at) : std::next(at);
        }
    }
}

void gateway_service::withdraw_waiting() {
    for (const auto& handover : *m_running) {
        handover->withdraw();
    }
}

void gateway_service::abort_transactions() {
    for (const auto& [id, held] : m_transactions) {
        held.transaction->roll_back();
    }
    m_transactions.clear();
}

asio::awaitable<std::string> gateway_service::run(std::string params) {
    auto forwarded = decode_call(params);
    if (m_leaving && forwarded.phase != transaction_phase::next) {
        throw links::peer_call_refused("the instance is shutting down");
    }
    forwarded.elapsed += m_context.unread_time();
    if (forwarded.elapsed >= forwarded.route.statement_timeout) {
        // The caller has been told that the statement timed out, and may have sent another.
        end_transaction(forwarded.transaction);
        throw links::peer_call_refused("the time limit of the statement is over");
    }
    const auto statement = sent_statement(forwarded);
    const auto transaction = forwarded.transaction;
    auto outcome = co_await execute(std::move(forwarded));
    auto text = encode_outcome(outcome);
    if (text.size() > max_outcome_bytes) {
        end_transaction(outcome.transaction == 0 ? transaction : outcome.transaction);
        text = encode_outcome(without_answer(std::move(outcome), statement));
    }
    co_return text;
}

asio::awaitable<std::string> gateway_service::roll_back(std::string params) {
    end_transaction(nlohmann::json::parse(params).at("transaction").get<std::uint64_t>());
    co_return "{}";
}

asio::awaitable<std::string> gateway_service::admit(std::string params) {
    const auto request = nlohmann::json::parse(params);
    const account_name account(request.at("account").get<std::string>());
    const bool is_coordinator = m_context.has_share_of(account);
    const int admitted =
        is_coordinator ? m_context.admit_locally(account, request.at("count").get<int>()) : 0;
    co_return nlohmann::json{{"kept", is_coordinator}, {"admitted", admitted}}.dump();
}

asio::awaitable<forwarded_outcome> gateway_service::execute(forwarded_statement forwarded) {
    routing::statement_run run;
    run.route = &forwarded.route;
    run.account = forwarded.account;
    run.statement = forwarded.statement;
    run.decision = forwarded.decision;
    run.values = forwarded.values;
    run.own_commit = forwarded.own_commit;
    run.arrived = steady_clock().now() - forwarded.elapsed;
    const running_statement counted(m_running, run.handover);
    if (forwarded.phase == transaction_phase::next) {
        co_return co_await execute_next(std::move(forwarded), std::move(run));
    }
    auto& local = m_context.gateway_for(forwarded.route.service);
    forwarded_outcome outcome;
    if (forwarded.phase == transaction_phase::autocommit) {
        outcome = outcome_from(co_await local.run_autocommit(std::move(run)));
    } else {
        std::unique_ptr<statement_transaction> transaction;
        outcome = outcome_from(
            co_await local.run_first(std::move(run), forwarded.reads_only, transaction));
        if (transaction != nullptr) {
            outcome.transaction = new_transaction_id();
            m_transactions[outcome.transaction] = {std::move(transaction), forwarded.account,
                                                   steady_clock().now()};
        }
    }
    log_failure(forwarded, outcome);
    if (counted.withdrawn_unsent()) {
        throw links::peer_call_refused("the instance is shutting down");
    }
    co_return outcome;
}

asio::awaitable<forwarded_outcome> gateway_service::execute_next(forwarded_statement forwarded,
                                                                 routing::statement_run run) {
    run.route = &forwarded.route;
    forwarded_outcome outcome;
    const auto found = m_transactions.find(forwarded.transaction);
    if (found == m_transactions.end() || found->second.account != forwarded.account) {
        // The transaction was rolled back here, or it is still running another statement, or it is
        // another account's. This call commits nothing.
        outcome.answer.code = sessions::answer_code::aborted;
        outcome.routing_basis = "transaction";
        outcome.transaction_finished = true;
        co_return outcome;
    }
    auto running = m_transactions.extract(found);
    outcome = outcome_from(co_await running.mapped().transaction->run_next(std::move(run)));
    log_failure(forwarded, outcome);
    if (!outcome.transaction_finished) {
        running.mapped().used = steady_clock().now();
        m_transactions.insert(std::move(running));
    }
    co_return outcome;
}

void gateway_service::end_transaction(std::uint64_t id) {
    const auto found = m_transactions.find(id);
    if (found != m_transactions.end()) {
        found->second.transaction->roll_back();
        m_transactions.erase(found);
    }
}

std::uint64_t gateway_service::new_transaction_id() {
    // The sender of a statement does not know of a restart, so numbers that start again from 1
    // would name the transactions of others.
    std::uint64_t id = m_random->next();
    while (id == 0 || m_transactions.contains(id)) {
        id = m_random->next();
    }
    return id;
}

void gateway_service::log_failure(const forwarded_statement& forwarded,
                                  const forwarded_outcome& outcome) {
    if (outcome.answer.code == sessions::answer_code::ok) {
        // The instance that holds the session logs successful statements, with the name of this
        // gateway.
        return;
    }
    log_entry line("gateway_statement");
    line.add("request", forwarded.statement.id)
        .add("account", forwarded.account.str())
        .add("service", forwarded.route.service.str())
        .add("form", outcome.routing_basis)
        .add("attempts", outcome.attempts)
        .add("server", outcome.server.str())
        .add("outcome", to_string(outcome.answer.code));
    m_context.log().write(line);
}

} // namespace oriole::entry
