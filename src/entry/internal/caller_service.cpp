#include <utility>

#include "entry/internal/caller_service.h"

#include "entry/internal/unfinished_statement.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::answer_code;
using sessions::session_step;
using sessions::transaction_state;

/// Time after an answer in which the client may be sending its next statement: a close would meet
/// it on the way, and the client could not tell whether it has run.
constexpr clock::duration quiet_time = 300ms;
/// Time for a client to close its connection after the last answer.
constexpr clock::duration client_close_time = 200ms;
/// A statement that is shorter, with the values of its session, runs without a reservation of
/// memory: each connection runs one at a time.
constexpr std::size_t min_reserved_bytes = std::size_t{4} << 10U;

std::string format_position(const machines::log_position& position) {
    return std::to_string(position.term()) + "." + std::to_string(position.offset());
}

} // namespace

void caller_service::open_account() {
    m_holding = m_context.resources()->open(machines::client_port::callers, weak_from_this());
    if (m_holding == nullptr) {
        m_channel->close();
        return;
    }
    m_channel->account_to(m_holding);
}

void caller_service::close_for(machines::refusal_reason reason) {
    asio::post(m_context.executor(), [self = shared_from_this(), reason] {
        if (!self->m_closed) {
            self->m_context.refusals().log_closed(self->m_database, self->m_account, reason);
            self->close();
        }
    });
}

void caller_service::account_unread() {
    const bool was_running = std::exchange(m_was_running, m_statement_running);
    if (m_holding == nullptr || !was_running) {
        return;
    }
    const auto bytes = m_statement_running ? m_channel->unread_bytes() : 0;
    // When this connection has to be closed, close_for() does so.
    static_cast<void>(m_holding->hold(machines::held_part::unread, bytes));
}

asio::awaitable<void> caller_service::serve() {
    const auto self = shared_from_this();
    try {
        if (co_await open()) {
            co_await serve_statements();
        }
    } catch (const caller_lost& lost) {
        log_end("caller_lost", lost.what());
    } catch (const std::exception& unexpected) {
        log_end("session_failed", unexpected.what());
    }
    m_run = nullptr;
    roll_back();
    if (m_served_by_finish) {
        co_await wait_for_finish();
    }
    close();
}

asio::awaitable<void> caller_service::wait_for_finish() {
    while (!m_finished) {
        boost::system::error_code ignored;
        co_await m_finish_wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void caller_service::close() {
    m_closed = true;
    m_channel->close();
}

void caller_service::log_end(std::string_view event, std::string_view reason) {
    m_context.log().write(log_entry(event)
                              .add("database", m_database)
                              .add("account", m_account.str())
                              .add("reason", reason));
}

asio::awaitable<bool> caller_service::open() {
    const auto request = co_await m_channel->accept();
    if (!request) {
        co_return false;
    }
    const auto grant = m_context.authorize(request->database, request->key);
    if (grant.code != answer_code::ok) {
        const auto& config = m_context.view()->config;
        m_context.log().write(log_entry("session_refused")
                                  .add("database", request->database)
                                  .add("account", grant.account.str())
                                  .add("config_version", config == nullptr ? 0 : config->version)
                                  .add("reason", to_string(grant.code)));
        co_await m_channel->refuse(grant.code);
        co_await m_channel->wait_for_close(client_close_time);
        co_return false;
    }
    m_database = request->database;
    m_key = request->key;
    m_account = grant.account;
    m_route = *grant.route;
    if (m_holding != nullptr) {
        m_holding->authenticate(m_account.str());
    }
    co_await m_channel->confirm_session();
    m_answered_at = steady_clock().now();
    co_return true;
}

asio::awaitable<void> caller_service::serve_statements() {
    while (auto statement = co_await next_statement()) {
        m_statement_running = true;
        const auto next = co_await handle(std::move(*statement));
        if (next == next_step::served_by_finish) {
            co_return;
        }
        m_statement_running = false;
        m_answered_at = steady_clock().now();
        if (next == next_step::end_session) {
            co_await m_channel->wait_for_close(client_close_time);
            co_return;
        }
    }
}

void caller_service::end_now() {
    m_ending = true;
    m_refusing = true;
    if (m_run == nullptr) {
        return;
    }
    const routing::statement_run& run = *std::exchange(m_run, nullptr);
    const bool unsent = run.handover->withdraw();
    auto outcome = end_without_result(run, m_admitted && !unsent);
    record_outcome(run, outcome);
    m_served_by_finish = true;
    asio::co_spawn(
        m_context.executor(),
        [self = shared_from_this(), answer = std::move(outcome.answer)]() mutable {
            return self->finish(std::move(answer));
        },
        asio::detached);
}

asio::awaitable<void> caller_service::finish(sessions::server_answer answer) {
    try {
        const bool is_last = ends_with_next_answer();
        co_await reply(std::move(answer), is_last);
        m_statement_running = false;
        m_answered_at = steady_clock().now();
        if (is_last) {
            co_await m_channel->wait_for_close(client_close_time);
        } else {
            co_await serve_statements();
        }
    } catch (const caller_lost& lost) {
        log_end("caller_lost", lost.what());
    } catch (const std::exception& unexpected) {
        log_end("session_failed", unexpected.what());
    }
    close();
    m_finished = true;
    m_finish_wait.cancel();
}

routing::run_outcome caller_service::end_without_result(const routing::statement_run& run,
                                                        bool may_have_been_sent) {
    unfinished_statement statement;
    statement.starts_operation = run.decision.starts_operation;
    statement.may_have_been_sent = may_have_been_sent;
    statement.in_transaction = m_session.state() == transaction_state::open;
    statement.commits = run.decision.step == session_step::commit;
    statement.writes = run.decision.writes;
    statement.transaction_wrote = m_transaction != nullptr && m_transaction->wrote();
    if (statement.starts_operation || statement.commits) {
        m_session.transaction_ended();
    } else {
        m_session.transaction_failed();
    }
    routing::run_outcome outcome;
    outcome.answer.code = code_without_result(statement);
    outcome.answer.state = m_session.state();
    outcome.routing_basis = "stop";
    return outcome;
}

bool caller_service::close_if_quiet(clock::time_point now) {
    const bool quiet = !m_statement_running && m_session.state() == transaction_state::none &&
                       !m_channel->has_input() && now - m_answered_at >= quiet_time;
    if (quiet) {
        close();
    }
    return quiet;
}

bool caller_service::ends_with_next_answer() const {
    return m_ending && m_session.state() == transaction_state::none && !m_channel->has_input();
}

void caller_service::end_transactions() {
    m_refusing_transactions = true;
    abort_transaction();
}

void caller_service::abort_transaction() {
    if (m_session.state() != transaction_state::open || m_statement_running) {
        return;
    }
    end_transaction();
    m_transaction_aborted = true;
}

asio::awaitable<std::optional<sessions::statement>> caller_service::next_statement() {
    const auto view = m_context.view();
    const auto idle_limit =
        view->config == nullptr ? clock::duration::zero() : view->config->transaction_idle;
    const bool idle_too_long = m_transaction != nullptr && idle_limit > clock::duration::zero() &&
                               !co_await m_channel->wait_for_input(idle_limit);
    // A planned stop may have rolled the transaction back during the wait.
    if (idle_too_long && m_transaction != nullptr) {
        m_context.log().write(log_entry("transaction_idle")
                                  .add("database", m_database)
                                  .add("account", m_account.str())
                                  .add("server", m_transaction->server().str())
                                  .add("outcome", "rolled_back"));
        abort_transaction();
    }
    co_return co_await m_channel->next();
}

asio::awaitable<caller_service::next_step> caller_service::handle(sessions::statement statement) {
    const auto arrived = steady_clock().now();
    const auto permitted = check_permission();
    if (permitted != answer_code::ok) {
        end_transaction();
        m_context.log().write(log_entry("session_ended")
                                  .add("request", statement.id)
                                  .add("database", m_database)
                                  .add("account", m_account.str())
                                  .add("reason", to_string(permitted)));
        sessions::server_answer answer;
        answer.code = permitted;
        co_await reply(std::move(answer), true);
        co_return next_step::end_session;
    }
    routing::statement_run run;
    run.decision = m_session.decide(statement);
    if (!may_keep_session()) {
        throw caller_lost("the session keeps more than it may");
    }
    run.arrived = arrived;
    run.account = m_account;
    if (run.decision.step == session_step::run || run.decision.step == session_step::commit) {
        run.values = m_session.values(); // Only a server needs them, and they may be long.
    }
    run.own_commit = m_session.last_commit();
    run.statement = std::move(statement);
    m_run = &run;
    routing::run_outcome outcome;
    bool has_outcome = false;
    try {
        outcome = co_await this->run(run);
        has_outcome = true;
    } catch (const std::exception& unexpected) {
        log_end("session_failed", unexpected.what());
    }
    if (m_run != &run) {
        co_return next_step::served_by_finish;
    }
    m_run = nullptr;
    m_running_memory.reset();
    if (!has_outcome) {
        const bool unsent = run.handover->withdraw();
        outcome = end_without_result(run, m_admitted && !unsent);
        outcome.routing_basis = "error";
        roll_back();
        end_soon();
    }
    outcome.answer.state = m_session.state();
    record_outcome(run, outcome);
    const bool is_last = ends_with_next_answer();
    co_await reply(std::move(outcome.answer), is_last);
    co_return is_last ? next_step::end_session : next_step::receive_next;
}

answer_code caller_service::check_permission() {
    const auto grant = m_context.authorize(m_database, m_key);
    if (m_session.state() == transaction_state::none) {
        if (grant.code == answer_code::ok) {
            m_route = *grant.route;
            m_account = grant.account;
        }
        return grant.code;
    }
    // Inside a transaction a changed route applies only from the next transaction on, but a revoked
    // key takes effect at once.
    return grant.code == answer_code::denied ? grant.code : answer_code::ok;
}

asio::awaitable<routing::run_outcome> caller_service::run(routing::statement_run run) {
    routing::run_outcome outcome;
    outcome.answer.code = run.decision.code;
    run.route = &m_route;
    const bool needs_server =
        run.decision.step == session_step::run || run.decision.step == session_step::commit;
    if (m_refusing && (needs_server || run.decision.starts_operation)) {
        co_return end_without_result(run, false);
    }
    const bool begins_transaction =
        run.decision.starts_operation && run.decision.step == session_step::answer;
    if (m_refusing_transactions && begins_transaction) {
        co_return end_without_result(run, false);
    }
    if (!reserve_memory(run)) {
        outcome = end_without_result(run, false);
        outcome.routing_basis = "memory";
        co_return outcome;
    }
    m_admitted = !run.decision.starts_operation;
    if (run.decision.starts_operation) {
        m_admitted = co_await m_context.admit(m_account);
        if (m_refusing) {
            co_return outcome; // end_now() has answered the statement.
        }
        if (!m_admitted) {
            m_session.transaction_ended();
            outcome.answer.code = answer_code::busy;
            outcome.routing_basis = "rate";
            co_return outcome;
        }
    }
    if (m_transaction_aborted && m_session.state() == transaction_state::open &&
        run.decision.step != session_step::roll_back) {
        m_transaction_aborted = false;
        m_session.transaction_failed();
        outcome.answer.code = answer_code::aborted;
        if (run.decision.step == session_step::commit) {
            m_session.transaction_ended();
        }
        co_return outcome;
    }
    m_transaction_aborted = false;
    if (run.decision.step == session_step::answer) {
        co_return outcome;
    }
    if (run.decision.step == session_step::roll_back) {
        end_transaction();
        co_return outcome;
    }
    if (m_session.state() == transaction_state::open) {
        co_return co_await run_in_transaction(std::move(run));
    }
    const bool writes = run.decision.writes;
    auto& executor = m_context.executor_for(m_route.service);
    outcome = co_await executor.run_autocommit(std::move(run));
    if (writes && outcome.answer.code == answer_code::ok && outcome.answer.position) {
        m_session.committed(*outcome.answer.position);
    }
    co_return outcome;
}

asio::awaitable<routing::run_outcome>
caller_service::run_in_transaction(routing::statement_run run) {
    const bool commits = run.decision.step == session_step::commit;
    const bool writes = run.decision.writes || (m_transaction != nullptr && m_transaction->wrote());
    routing::run_outcome outcome;
    if (m_transaction == nullptr) {
        auto& executor = m_context.executor_for(m_route.service);
        outcome =
            co_await executor.run_first(std::move(run), m_session.reads_only(), m_transaction);
    } else {
        outcome = co_await m_transaction->run_next(std::move(run));
        if (outcome.transaction_finished) {
            m_transaction.reset();
        }
    }
    if (m_refusing) {
        co_return outcome; // end_now() has answered the statement.
    }
    const bool succeeded = outcome.answer.code == answer_code::ok;
    if (commits) {
        m_session.transaction_ended();
        if (succeeded && writes && outcome.answer.position) {
            m_session.committed(*outcome.answer.position);
        }
    } else if (!succeeded) {
        m_session.transaction_failed();
    }
    co_return outcome;
}

bool caller_service::may_keep_session() {
    const auto bytes = m_session.state_bytes();
    if (m_holding == nullptr || bytes == m_state_bytes) {
        return true;
    }
    m_state_bytes = bytes;
    if (m_session.value_bytes() > m_context.resources()->bounds().session_value_bytes()) {
        m_holding->count_refusal(machines::refusal_reason::session_values);
        return false;
    }
    return m_holding->hold(machines::held_part::session, bytes);
}

bool caller_service::reserve_memory(const routing::statement_run& run) {
    const auto bytes = run.statement.text.size() + m_session.value_bytes();
    if (run.decision.step != session_step::run || bytes < min_reserved_bytes) {
        return true;
    }
    m_running_memory = m_context.resources()->try_run(
        machines::running_kind::statement, m_account.str(), bytes * machines::statement_copies);
    if (m_running_memory == nullptr && m_holding != nullptr) {
        m_holding->count_refusal(machines::refusal_reason::running_memory);
    }
    return m_running_memory != nullptr;
}

asio::awaitable<void> caller_service::reply(sessions::server_answer answer, bool is_last) {
    if (is_last) {
        co_await m_channel->answer_and_end(std::move(answer));
    } else {
        co_await m_channel->answer(std::move(answer));
    }
}

void caller_service::end_transaction() {
    if (!m_served_by_finish) {
        roll_back();
    }
}

void caller_service::roll_back() {
    if (m_transaction != nullptr) {
        m_transaction->roll_back();
        m_transaction.reset();
    }
}

void caller_service::record_outcome(const routing::statement_run& run,
                                    const routing::run_outcome& outcome) {
    const bool local = run.decision.step == session_step::answer;
    if (local && outcome.answer.code == answer_code::ok) {
        return; // Statements that this instance answers itself without an error are not logged.
    }
    const auto now = steady_clock().now();
    const auto took = now - run.arrived;
    m_context.statement_latency().add(took);
    m_context.metrics()
        .get("oriole_statements_total{outcome=\"" + std::string(to_string(outcome.answer.code)) +
             "\"}")
        .add();
    log_entry line("statement");
    line.add("request", run.statement.id)
        .add("database", m_database)
        .add("account", m_account.str())
        .add("service", m_route.service.str())
        .add("writes", run.decision.writes ? 1 : 0)
        .add("config_version", m_context.view()->config->version)
        .add("form", outcome.routing_basis)
        .add("attempts", outcome.attempts)
        .add("outcome", to_string(outcome.answer.code))
        .add("us", std::chrono::duration_cast<std::chrono::microseconds>(took).count());
    if (!outcome.gateway.empty()) {
        line.add("gateway", outcome.gateway.str());
    }
    if (!outcome.server.empty()) {
        line.add("server", outcome.server.str());
    }
    if (outcome.required) {
        line.add("required", format_position(*outcome.required));
    }
    if (outcome.answer.position) {
        line.add("position", format_position(*outcome.answer.position));
    }
    m_context.log().write(line);
}

} // namespace oriole::entry
