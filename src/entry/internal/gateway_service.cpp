#include <utility>

#include "entry/internal/gateway_service.h"

#include "entry/forward_codec.h"
#include "entry/internal/gateway_link.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr clock::duration idle_check_interval = 500ms;
/// Used when the configuration lets callers' transactions rest as long as they like: the instance
/// that opened the transaction may have ended.
constexpr clock::duration longest_rest = 30s;

/// The call cannot be served here.
class not_served : public error {
public:
    using error::error;
};

/// Counts a statement as running while it exists.
class running_statement {
public:
    explicit running_statement(int& count) : m_count(count) { ++m_count; }

    ~running_statement() { --m_count; }

    running_statement(const running_statement&) = delete;
    running_statement& operator=(const running_statement&) = delete;

private:
    int& m_count;
};

forwarded_outcome outcome_from(run_outcome run) {
    forwarded_outcome outcome;
    outcome.answer = std::move(run.answer);
    outcome.server = std::move(run.server);
    outcome.attempts = run.attempts;
    outcome.form = std::move(run.form);
    outcome.required = run.required;
    outcome.transaction_over = run.transaction_over;
    return outcome;
}

} // namespace

gateway_service::gateway_service(asio::any_io_executor executor, const endpoint& listen,
                                 traffic_context& context)
    : m_executor(std::move(executor)),
      m_context(context),
      m_server(links::make_peer_server(m_executor, listen, fleet_secret())) {
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
        const auto limit = configured > clock::duration::zero() ? configured : longest_rest;
        const auto now = steady_clock().now();
        for (auto at = m_transactions.begin(); at != m_transactions.end();) {
            const bool over = !at->second.running && now - at->second.used > limit;
            if (over) {
                m_context.log().write(log_entry("transaction_idle")
                                          .add("server", at->second.transaction->server().str())
                                          .add("transaction", at->first)
                                          .add("outcome", "rolled_back"));
                at->second.transaction->roll_back();
            }
            at = over ? m_transactions.erase(at) : std::next(at);
        }
    }
}

void gateway_service::abort_transactions() {
    for (auto at = m_transactions.begin(); at != m_transactions.end();) {
        const bool rests = !at->second.running;
        if (rests) {
            at->second.transaction->roll_back();
        }
        at = rests ? m_transactions.erase(at) : std::next(at);
    }
}

asio::awaitable<std::string> gateway_service::run(std::string params) {
    auto forwarded = decode_forwarded(params);
    if (m_leaving && forwarded.place != statement_place::next) {
        throw not_served("the instance is leaving");
    }
    const running_statement counted(m_running);
    auto outcome = co_await execute(std::move(forwarded));
    co_return encode_outcome(outcome);
}

asio::awaitable<std::string> gateway_service::roll_back(std::string params) {
    const auto number = nlohmann::json::parse(params).at("transaction").get<std::uint64_t>();
    const auto found = m_transactions.find(number);
    if (found != m_transactions.end() && !found->second.running) {
        found->second.transaction->roll_back();
        m_transactions.erase(found);
    }
    co_return "{}";
}

asio::awaitable<std::string> gateway_service::admit(std::string params) {
    const auto question = nlohmann::json::parse(params);
    const account_name account(question.at("account").get<std::string>());
    const bool kept = m_context.has_part_of(account);
    const int admitted = kept ? m_context.admit_here(account, question.at("count").get<int>()) : 0;
    co_return nlohmann::json{{"kept", kept}, {"admitted", admitted}}.dump();
}

asio::awaitable<forwarded_outcome> gateway_service::execute(forwarded_statement forwarded) {
    statement_run run;
    run.route = &forwarded.route;
    run.account = forwarded.account;
    run.statement = forwarded.statement;
    run.decision = forwarded.decision;
    run.values = forwarded.values;
    run.own_commit = forwarded.own_commit;
    run.arrived = steady_clock().now() - forwarded.elapsed;
    if (forwarded.place == statement_place::next) {
        co_return co_await execute_next(std::move(forwarded), std::move(run));
    }
    auto& local = m_context.gateway_for(forwarded.route.service);
    forwarded_outcome outcome;
    if (forwarded.place == statement_place::alone) {
        outcome = outcome_from(co_await local.run_alone(std::move(run)));
    } else {
        std::unique_ptr<statement_transaction> transaction;
        outcome = outcome_from(
            co_await local.run_first(std::move(run), forwarded.reads_only, transaction));
        if (transaction != nullptr) {
            outcome.transaction = ++m_last_number;
            m_transactions[m_last_number] = {std::move(transaction), steady_clock().now(), false};
        }
    }
    note(forwarded, outcome);
    co_return outcome;
}

asio::awaitable<forwarded_outcome> gateway_service::execute_next(forwarded_statement forwarded,
                                                                 statement_run run) {
    run.route = &forwarded.route;
    forwarded_outcome outcome;
    const auto found = m_transactions.find(forwarded.transaction);
    if (found == m_transactions.end() || found->second.running) {
        // It was rolled back here, so nothing of it is kept.
        outcome.answer.code = sessions::answer_code::aborted;
        outcome.form = "transaction";
        outcome.transaction_over = true;
        co_return outcome;
    }
    auto& held = found->second;
    held.running = true;
    outcome = outcome_from(co_await held.transaction->run_next(std::move(run)));
    held.running = false;
    held.used = steady_clock().now();
    if (outcome.transaction_over) {
        m_transactions.erase(forwarded.transaction);
    }
    note(forwarded, outcome);
    co_return outcome;
}

void gateway_service::note(const forwarded_statement& forwarded, const forwarded_outcome& outcome) {
    if (outcome.answer.code == sessions::answer_code::ok) {
        return; // The line of the instance that has the session names this gateway.
    }
    log_entry line("gateway_statement");
    line.add("request", forwarded.statement.id)
        .add("account", forwarded.account.str())
        .add("service", forwarded.route.service.str())
        .add("form", outcome.form)
        .add("attempts", outcome.attempts)
        .add("server", outcome.server.str())
        .add("outcome", to_string(outcome.answer.code));
    m_context.log().write(line);
}

} // namespace oriole::entry
