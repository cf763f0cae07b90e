#include <utility>

#include "entry/internal/placement.h"

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using fleet::read_policy;
using sessions::answer_code;
using sessions::order_kind;
using sessions::server_order;
using sessions::statement_kind;

/// A read that got no answer for this long is tried at another server as well.
constexpr clock::duration read_patience = 400ms;
/// Pause before a server that just refused is asked again.
constexpr clock::duration retry_pause = 40ms;

server_order begin_order(order_kind kind, std::optional<machines::log_position> after) {
    server_order order;
    order.kind = kind;
    order.after = after;
    return order;
}

run_outcome refusal(answer_code code) {
    run_outcome outcome;
    outcome.answer.code = code;
    return outcome;
}

/// Whether another server, or the same one later, may run the statement after this answer.
bool may_try_again(answer_code code) {
    return promises_nothing_kept(code);
}

} // namespace

server_order caller_order(const statement_run& run) {
    server_order order;
    order.kind = order_kind::caller_statement;
    order.id = run.statement.id;
    order.text = run.statement.text;
    if (run.decision.shape) {
        order.kind = order_kind::execute;
        order.name = sessions::connection_alignment::name_of(*run.decision.shape);
        order.text = run.statement.argument;
    }
    return order;
}

asio::awaitable<run_outcome>
placement::read_anywhere(std::unique_ptr<open_transaction>* transaction) {
    while (true) {
        const auto& route = *m_run.route;
        const auto required =
            route.policy == read_policy::newest
                ? std::nullopt
                : m_service.proofs().required(boot_clock().now(), route.max_age, m_run.own_commit);
        const auto pool = required ? next_reader(*required) : m_service.primary();
        if (pool == nullptr) {
            if (!co_await wait_for_primary()) {
                co_return last_outcome(answer_code::busy);
            }
            continue;
        }
        auto outcome = co_await try_read(pool, required, transaction);
        if (!may_try_again(outcome.answer.code) || m_budget.spent(steady_clock().now())) {
            co_return outcome;
        }
        m_last = std::move(outcome);
        if (!required || m_tried.size() >= m_service.readers({}, {}, {}).size()) {
            m_tried.clear();
            if (!co_await pause()) {
                co_return last_outcome(answer_code::busy);
            }
        }
    }
}

asio::awaitable<run_outcome>
placement::run_at_primary(std::unique_ptr<open_transaction>* transaction) {
    while (true) {
        const auto pool = m_service.primary();
        const bool usable = pool != nullptr && !pool->suspected(steady_clock().now());
        if (!usable) {
            if (!co_await wait_for_primary()) {
                co_return last_outcome(answer_code::busy);
            }
            if (pool != nullptr && pool == m_service.primary() &&
                m_budget.spent(steady_clock().now())) {
                co_return last_outcome(answer_code::busy);
            }
            continue;
        }
        auto outcome = co_await try_primary(pool, transaction);
        if (!may_try_again(outcome.answer.code) || m_budget.spent(steady_clock().now())) {
            co_return outcome;
        }
        m_last = std::move(outcome);
        if (!co_await pause()) {
            co_return last_outcome(answer_code::busy);
        }
    }
}

pool_ptr placement::next_reader(const machines::log_position& required) {
    for (auto& pool : m_service.readers(required, m_run.account, steady_clock().now())) {
        if (!m_tried.contains(pool->server().id)) {
            return pool;
        }
    }
    return nullptr;
}

run_outcome placement::last_outcome(answer_code code) {
    return m_last ? std::move(*m_last) : refusal(code);
}

asio::awaitable<bool> placement::wait_for_primary() {
    const auto now = steady_clock().now();
    if (m_budget.spent(now)) {
        co_return false;
    }
    co_await m_service.wait_for_primary(std::min(m_budget.end(), now + retry_pause));
    co_return true;
}

asio::awaitable<pool_grant> placement::acquire(const pool_ptr& pool) {
    auto grant = co_await pool->acquire(m_run.account, m_run.values, m_budget.end_of_wait());
    co_return grant;
}

exchange_plan placement::plan_for(const std::optional<machines::log_position>& required,
                                  bool begins) const {
    exchange_plan plan;
    plan.values = m_run.values;
    plan.shape = m_run.decision.shape;
    plan.statement = caller_order(m_run);
    plan.writes = m_run.decision.writes;
    // A statement of a caller's transaction may not run outside of it when the begin is
    // refused.
    plan.opening_first = begins;
    if (required && begins) {
        plan.opening = begin_order(order_kind::begin_read, required);
    } else if (required) {
        plan.statement.after = required;
    } else {
        // A server that has lost the lead refuses this, so its answer proves the lead.
        plan.opening = begin_order(order_kind::begin, std::nullopt);
        plan.rolls_back = !begins;
    }
    return plan;
}

asio::awaitable<run_outcome> placement::try_read(pool_ptr pool,
                                                 std::optional<machines::log_position> required,
                                                 std::unique_ptr<open_transaction>* transaction) {
    m_tried.insert(pool->server().id);
    auto grant = co_await acquire(pool);
    if (!grant.connection) {
        co_return described(refusal(grant.refusal), *pool, required);
    }
    const bool begins = transaction != nullptr;
    const auto now = steady_clock().now();
    const bool elsewhere = required && !begins;
    auto limit = m_budget.deadline() - now;
    if (elsewhere) {
        limit = std::min(limit, read_patience);
    }
    auto result = co_await exchange(*pool, *grant.connection, plan_for(required, begins), limit);
    note(*pool, result, required, !required);
    co_return finish_read(pool, std::move(grant.connection), std::move(result), required,
                          transaction);
}

run_outcome placement::finish_read(const pool_ptr& pool,
                                   std::unique_ptr<pooled_connection> connection,
                                   exchange_result result,
                                   const std::optional<machines::log_position>& required,
                                   std::unique_ptr<open_transaction>* transaction) {
    run_outcome outcome;
    outcome.answer = std::move(result.answer);
    const bool begins = transaction != nullptr;
    const bool rolls_back = !required && !begins;
    if (result.end == exchange_end::silent) {
        // The server may still be at work; its answer frees the connection.
        pool->release_after_answers(std::move(connection), result.answers_due);
        outcome.answer.code = steady_clock().now() < m_budget.deadline() ? answer_code::aborted
                                                                         : answer_code::timed_out;
    } else if (result.end != exchange_end::answered) {
        pool->discard(std::move(connection));
        if (!may_try_again(outcome.answer.code)) {
            outcome.answer.code = answer_code::aborted;
        }
    } else if (rolls_back) {
        outcome.answer.state = sessions::transaction_state::none;
        pool->release_after_answers(std::move(connection), result.answers_due);
    } else if (begins && outcome.answer.code == answer_code::ok) {
        *transaction = std::make_unique<open_transaction>();
        (*transaction)->pool = pool;
        (*transaction)->connection = std::move(connection);
        (*transaction)->at_primary = !required;
    } else if (outcome.answer.state != sessions::transaction_state::none) {
        pool->discard(std::move(connection));
    } else {
        pool->release(std::move(connection));
    }
    return described(std::move(outcome), *pool, required);
}

asio::awaitable<run_outcome>
placement::try_primary(pool_ptr pool, std::unique_ptr<open_transaction>* transaction) {
    auto grant = co_await acquire(pool);
    if (!grant.connection) {
        co_return described(refusal(grant.refusal), *pool, std::nullopt);
    }
    exchange_plan plan;
    plan.values = m_run.values;
    plan.shape = m_run.decision.shape;
    plan.statement = caller_order(m_run);
    plan.writes = m_run.decision.writes || m_run.statement.kind == statement_kind::commit;
    if (transaction != nullptr) {
        plan.opening = begin_order(order_kind::begin, std::nullopt);
        plan.opening_first = true;
    }
    auto result = co_await exchange(*pool, *grant.connection, std::move(plan),
                                    m_budget.deadline() - steady_clock().now());
    note(*pool, result, std::nullopt, transaction != nullptr || m_run.decision.writes);
    co_return finish_primary(pool, std::move(grant.connection), std::move(result), transaction);
}

run_outcome placement::finish_primary(const pool_ptr& pool,
                                      std::unique_ptr<pooled_connection> connection,
                                      exchange_result result,
                                      std::unique_ptr<open_transaction>* transaction) {
    run_outcome outcome;
    outcome.answer = std::move(result.answer);
    const bool commits = m_run.statement.kind == statement_kind::commit;
    const bool alone = transaction == nullptr || commits;
    if (result.end == exchange_end::answered && alone &&
        outcome.answer.state == sessions::transaction_state::none) {
        pool->release(std::move(connection));
    } else if (result.end == exchange_end::answered && outcome.answer.code == answer_code::ok) {
        *transaction = std::make_unique<open_transaction>();
        (*transaction)->pool = pool;
        (*transaction)->connection = std::move(connection);
        (*transaction)->at_primary = true;
        (*transaction)->wrote = m_run.decision.writes;
    } else {
        // Closing the connection rolls back what is open on it.
        pool->discard(std::move(connection));
        outcome.answer.code = code_after_failure(result.end, outcome.answer.code, alone);
    }
    return described(std::move(outcome), *pool, std::nullopt);
}

answer_code placement::code_after_failure(exchange_end end, answer_code code, bool may_be_kept) {
    if (end == exchange_end::answered) {
        return code;
    }
    if (end == exchange_end::not_run) {
        return may_try_again(code) ? code : answer_code::aborted;
    }
    if (!may_be_kept) {
        return end == exchange_end::silent ? answer_code::timed_out : answer_code::aborted;
    }
    return end == exchange_end::silent ? answer_code::timed_out : answer_code::in_doubt;
}

void placement::note(server_pool& pool, const exchange_result& result,
                     const std::optional<machines::log_position>& required, bool proves) {
    const auto& answer = result.answer;
    if (answer.code == answer_code::lagging && required) {
        m_service.lagging(pool, *required, steady_clock().now());
    } else if (answer.code == answer_code::read_only && !required) {
        m_service.not_leading(steady_clock().now());
    }
    if (result.end != exchange_end::answered || answer.code != answer_code::ok ||
        !answer.position) {
        return;
    }
    if (proves) {
        m_service.proved(pool, {result.asked, *answer.position});
    } else {
        m_service.shown(pool, *answer.position);
    }
}

run_outcome placement::described(run_outcome outcome, const server_pool& pool,
                                 const std::optional<machines::log_position>& required) {
    outcome.server = pool.server().id;
    outcome.attempts = ++m_attempts;
    outcome.form = required ? "position" : "lead";
    outcome.required = required;
    return outcome;
}

} // namespace oriole::entry
