#include <utility>

#include "routing/internal/statement_router.h"

#include <algorithm>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using fleet::read_policy;
using sessions::answer_code;
using sessions::command_kind;
using sessions::server_command;
using sessions::statement_kind;
using sessions::transaction_state;

/// Time limit for one attempt at a read, after which the read is retried at another server.
constexpr clock::duration read_attempt_timeout = 400ms;
/// Pause before the next attempt when no other server is left to try.
constexpr clock::duration retry_pause = 40ms;

server_command begin_command(command_kind kind, std::optional<machines::log_position> after) {
    server_command command;
    command.kind = kind;
    command.after = after;
    return command;
}

run_outcome refusal(answer_code code) {
    run_outcome outcome;
    outcome.answer.code = code;
    return outcome;
}

/// Returns whether the statement may be retried after this answer, because the failed attempt has
/// changed no data.
bool may_retry(answer_code code) {
    return guarantees_no_changes(code);
}

} // namespace

server_command caller_command(const statement_run& run) {
    server_command command;
    command.kind = command_kind::caller_statement;
    command.id = run.statement.id;
    command.text = run.statement.text;
    if (run.decision.shape) {
        command.kind = command_kind::execute;
        command.name = sessions::server_connection_state::name_of(*run.decision.shape);
        command.text = run.statement.argument;
    }
    command.ends_transaction = run.statement.kind == statement_kind::commit;
    command.changes_data = run.decision.writes || command.ends_transaction;
    return command;
}

asio::awaitable<run_outcome>
statement_router::run_read(std::unique_ptr<open_transaction>* transaction) {
    while (true) {
        const auto& route = *m_run.route;
        const auto required =
            route.policy == read_policy::newest
                ? std::nullopt
                : m_service.proofs().required(boot_clock().now(), route.max_age, m_run.own_commit);
        const auto pool = required ? next_reader(*required) : m_service.primary();
        if (pool == nullptr) {
            if (!co_await wait_for_primary(retry_pause)) {
                co_return last_outcome(answer_code::busy);
            }
            continue;
        }
        auto outcome = co_await try_read(pool, required, transaction);
        const bool runs_elsewhere =
            required && transaction == nullptr && is_first_failure(outcome.answer.code);
        if (!may_try_again(outcome, runs_elsewhere)) {
            co_return outcome;
        }
        m_last_outcome = std::move(outcome);
        if (!required || m_tried_servers.size() >= m_service.server_count()) {
            m_tried_servers.clear();
            if (!co_await pause()) {
                co_return last_outcome(answer_code::busy);
            }
        }
    }
}

asio::awaitable<run_outcome>
statement_router::run_at_primary(std::unique_ptr<open_transaction>* transaction) {
    while (true) {
        const auto pool = m_service.primary();
        const bool usable = pool != nullptr && !pool->suspected(steady_clock().now());
        if (!usable) {
            if (!co_await wait_for_primary(retry_pause)) {
                co_return last_outcome(answer_code::busy);
            }
            if (pool != nullptr && pool == m_service.primary() &&
                m_budget.expired(steady_clock().now())) {
                co_return last_outcome(answer_code::busy);
            }
            continue;
        }
        auto outcome = co_await try_primary(pool, transaction);
        if (!may_try_again(outcome)) {
            co_return outcome;
        }
        m_last_outcome = std::move(outcome);
        if (!co_await pause()) {
            co_return last_outcome(answer_code::busy);
        }
    }
}

pool_ptr statement_router::next_reader(const machines::log_position& required) {
    return m_service.choose_reader(required, m_run.account, *m_run.route, m_tried_servers,
                                   steady_clock().now());
}

run_outcome statement_router::last_outcome(answer_code code) {
    return m_last_outcome ? std::move(*m_last_outcome) : refusal(code);
}

bool statement_router::is_first_failure(answer_code code) {
    if (code != answer_code::failed || m_tried_servers.size() >= m_service.server_count()) {
        return false;
    }
    return !std::exchange(m_failed_before, true);
}

bool statement_router::may_try_again(const run_outcome& outcome, bool runs_elsewhere) {
    if (!may_retry(outcome.answer.code) && !runs_elsewhere) {
        return false;
    }
    m_run.handover->take_back();
    return !m_run.handover->withdrawn() && !m_budget.expired(steady_clock().now());
}

asio::awaitable<bool> statement_router::wait_for_primary(clock::duration limit) {
    const auto now = steady_clock().now();
    if (m_run.handover->withdrawn() || m_budget.expired(now)) {
        co_return false;
    }
    co_await m_service.wait_for_primary(std::min(m_budget.attempt_deadline(), now + limit));
    co_return true;
}

asio::awaitable<bool> statement_router::pause() {
    const bool refused_by_server = std::exchange(m_refused_by_server, false);
    const int attempts = m_attempts - std::exchange(m_attempts_before_pause, m_attempts);
    const bool always_refused_here = std::exchange(m_refused_here, 0) == attempts && attempts > 0;
    if (refused_by_server && m_service.prioritized()) {
        const auto wait = m_service.retries().pause_before_retry(
            m_run.account, m_retries++, steady_clock().now(), m_budget.wait_deadline());
        if (!wait) {
            co_return false;
        }
        co_return co_await wait_for_primary(*wait);
    }
    if (always_refused_here) {
        co_return false;
    }
    co_return co_await wait_for_primary(retry_pause);
}

asio::awaitable<pool_grant> statement_router::acquire(const pool_ptr& pool) {
    const auto deadline = pool->scheduled() ? m_budget.latest_start() : m_budget.wait_deadline();
    auto grant =
        co_await pool->acquire(m_run.account, m_run.values, deadline, m_run.route->priority);
    m_refused_here += grant.overloaded ? 1 : 0;
    m_refused_by_server =
        m_refused_by_server || (grant.opened && grant.refusal == answer_code::busy);
    if (grant.connection && grant.opened) {
        m_service.record_open(grant.open_time, steady_clock().now());
    }
    co_return grant;
}

exchange_plan statement_router::plan_for(const std::optional<machines::log_position>& required,
                                         bool begins) const {
    exchange_plan plan;
    plan.values = m_run.values;
    plan.shape = m_run.decision.shape;
    plan.statement = caller_command(m_run);
    plan.writes = m_run.decision.writes;
    // The first statement of a transaction must not run outside it when the server refuses the
    // begin.
    plan.await_transaction_begin = begins;
    if (required && begins) {
        plan.transaction_begin = begin_command(command_kind::begin_read, required);
    } else if (required) {
        plan.statement.after = required;
    } else {
        // A server that is no longer the primary refuses a read-write begin, so an ok proves that
        // the server is still the primary.
        plan.transaction_begin = begin_command(command_kind::begin, std::nullopt);
        plan.rolls_back = !begins;
    }
    return plan;
}

asio::awaitable<run_outcome>
statement_router::try_read(pool_ptr pool, std::optional<machines::log_position> required,
                           std::unique_ptr<open_transaction>* transaction) {
    m_tried_servers.insert(pool->server().id);
    const bool begins = transaction != nullptr;
    auto grant = co_await acquire(pool);
    if (!grant.connection) {
        co_return without_connection(grant, *pool, required);
    }
    if (!m_run.handover->hand_over()) {
        pool->release(std::move(grant.connection));
        co_return with_server(refusal(answer_code::busy), *pool, required);
    }
    const auto now = steady_clock().now();
    const bool may_use_another_server = required && !begins;
    auto limit = m_budget.deadline() - now;
    if (may_use_another_server) {
        limit = std::min(limit, read_attempt_timeout);
    }
    auto result = co_await exchange(*pool, *grant.connection, plan_for(required, begins), limit);
    m_service.record_run(m_run.account, result);
    if (!required && answered_without_lease(*pool, result)) {
        pool->discard(std::move(grant.connection));
        co_return with_server(refusal(answer_code::aborted), *pool, required);
    }
    if (required) {
        m_service.record_read(*pool, result, *m_run.route, begins, steady_clock().now());
    }
    record_answer(*pool, result, required, !required);
    co_return finish_read(pool, std::move(grant.connection), std::move(result), required,
                          transaction);
}

run_outcome statement_router::finish_read(const pool_ptr& pool,
                                          std::unique_ptr<pooled_connection> connection,
                                          exchange_result result,
                                          const std::optional<machines::log_position>& required,
                                          std::unique_ptr<open_transaction>* transaction) {
    run_outcome outcome;
    outcome.answer = std::move(result.answer);
    const bool begins = transaction != nullptr;
    const bool rolls_back = !required && !begins;
    const auto expected = begins || rolls_back ? transaction_state::open : transaction_state::none;
    if (result.status == exchange_status::timed_out) {
        // The server may still be running the read; the connection returns to the pool after its
        // answer.
        pool->release_after_answers(std::move(connection), result.answers_due);
        outcome.answer.code = steady_clock().now() < m_budget.deadline() ? answer_code::aborted
                                                                         : answer_code::timed_out;
    } else if (result.status != exchange_status::answered) {
        pool->discard(std::move(connection));
        if (!may_retry(outcome.answer.code)) {
            outcome.answer.code = answer_code::aborted;
        }
    } else if (outcome.answer.code == answer_code::ok && outcome.answer.state != expected) {
        pool->discard(std::move(connection));
        outcome.answer.code = answer_code::aborted;
    } else if (rolls_back) {
        outcome.answer.state = transaction_state::none;
        pool->release_after_answers(std::move(connection), result.answers_due);
    } else if (begins && outcome.answer.code == answer_code::ok) {
        *transaction = std::make_unique<open_transaction>();
        (*transaction)->pool = pool;
        (*transaction)->connection = std::move(connection);
        (*transaction)->at_primary = !required;
    } else if (outcome.answer.state != transaction_state::none) {
        pool->discard(std::move(connection));
    } else {
        pool->release(std::move(connection));
    }
    return with_server(std::move(outcome), *pool, required);
}

asio::awaitable<run_outcome>
statement_router::try_primary(pool_ptr pool, std::unique_ptr<open_transaction>* transaction) {
    auto grant = co_await acquire(pool);
    if (!grant.connection) {
        co_return without_connection(grant, *pool, std::nullopt);
    }
    if (!m_run.handover->hand_over()) {
        pool->release(std::move(grant.connection));
        co_return with_server(refusal(answer_code::busy), *pool, std::nullopt);
    }
    exchange_plan plan;
    plan.values = m_run.values;
    plan.shape = m_run.decision.shape;
    plan.statement = caller_command(m_run);
    plan.writes = m_run.decision.writes || m_run.statement.kind == statement_kind::commit;
    if (transaction != nullptr) {
        plan.transaction_begin = begin_command(command_kind::begin, std::nullopt);
        plan.await_transaction_begin = true;
    }
    auto result = co_await exchange(*pool, *grant.connection, std::move(plan),
                                    m_budget.deadline() - steady_clock().now());
    m_service.record_run(m_run.account, result);
    if (answered_without_lease(*pool, result)) {
        // The statement may have run at a server that was no longer the primary.
        result.status = exchange_status::connection_lost;
    }
    record_answer(*pool, result, std::nullopt, transaction != nullptr || m_run.decision.writes);
    co_return finish_primary(pool, std::move(grant.connection), std::move(result), transaction);
}

run_outcome statement_router::finish_primary(const pool_ptr& pool,
                                             std::unique_ptr<pooled_connection> connection,
                                             exchange_result result,
                                             std::unique_ptr<open_transaction>* transaction) {
    run_outcome outcome;
    outcome.answer = std::move(result.answer);
    const bool commits = m_run.statement.kind == statement_kind::commit;
    const bool commits_now = transaction == nullptr || commits;
    const auto expected = commits_now ? transaction_state::none : transaction_state::open;
    const bool succeeded =
        result.status == exchange_status::answered && outcome.answer.code == answer_code::ok;
    if (result.status == exchange_status::answered && commits_now &&
        outcome.answer.state == transaction_state::none) {
        pool->release(std::move(connection));
    } else if (succeeded && outcome.answer.state == expected) {
        *transaction = std::make_unique<open_transaction>();
        (*transaction)->pool = pool;
        (*transaction)->connection = std::move(connection);
        (*transaction)->at_primary = true;
        (*transaction)->wrote = m_run.decision.writes;
    } else {
        // Closing the connection rolls back the transaction that is open on it.
        pool->discard(std::move(connection));
        // The answer to the begin may have been the repetition of an earlier one, and the write may
        // have run outside the transaction.
        const bool may_be_committed = commits_now || m_run.decision.writes;
        const auto status = succeeded ? exchange_status::connection_lost : result.status;
        outcome.answer.code = code_after_failure(status, outcome.answer.code, may_be_committed);
    }
    return with_server(std::move(outcome), *pool, std::nullopt);
}

bool statement_router::answered_without_lease(const server_pool& pool,
                                              const exchange_result& result) const {
    return result.status == exchange_status::answered && result.answer.code == answer_code::ok &&
           !m_service.may_use_as_primary(pool);
}

answer_code statement_router::code_after_failure(exchange_status status, answer_code code,
                                                 bool may_be_committed) {
    if (status == exchange_status::answered) {
        return code;
    }
    if (status == exchange_status::not_run) {
        return may_retry(code) ? code : answer_code::aborted;
    }
    if (!may_be_committed) {
        return status == exchange_status::timed_out ? answer_code::timed_out : answer_code::aborted;
    }
    return status == exchange_status::timed_out ? answer_code::timed_out : answer_code::in_doubt;
}

void statement_router::record_answer(server_pool& pool, const exchange_result& result,
                                     const std::optional<machines::log_position>& required,
                                     bool proves) {
    const auto& answer = result.answer;
    m_refused_by_server = m_refused_by_server || answer.code == answer_code::busy;
    if (result.status == exchange_status::timed_out) {
        m_service.record_silence(pool);
    }
    if (answer.code == answer_code::lagging && required) {
        m_service.record_lag(pool, *required, steady_clock().now());
    } else if (answer.code == answer_code::read_only && !required) {
        m_service.record_not_leading(steady_clock().now());
    }
    if (result.status != exchange_status::answered || answer.code != answer_code::ok ||
        !answer.position) {
        return;
    }
    if (proves) {
        m_service.add_proof(pool, {result.asked, *answer.position});
    } else {
        m_service.record_position(pool, *answer.position);
    }
}

run_outcome
statement_router::without_connection(const pool_grant& grant, const server_pool& pool,
                                     const std::optional<machines::log_position>& required) {
    auto outcome = with_server(refusal(grant.refusal), pool, required);
    outcome.routing_basis = grant.overloaded ? "slots" : "connections";
    return outcome;
}

run_outcome statement_router::with_server(run_outcome outcome, const server_pool& pool,
                                          const std::optional<machines::log_position>& required) {
    outcome.server = pool.server().id;
    outcome.attempts = ++m_attempts;
    outcome.routing_basis = required ? "position" : "lead";
    outcome.required = required;
    return outcome;
}

} // namespace oriole::routing
