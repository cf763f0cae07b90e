#include <utility>

#include "routing/server_exchange.h"

#include <algorithm>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using sessions::answer_code;
using sessions::command_kind;
using sessions::server_command;

server_command rollback_command() {
    server_command command;
    command.kind = command_kind::rollback;
    return command;
}

/// Runs one exchange on a connection: sends the commands and receives their answers.
class exchange_run {
public:
    exchange_run(server_pool& pool, pooled_connection& connection, clock::duration limit)
        : m_pool(pool), m_connection(connection), m_deadline(steady_clock().now() + limit) {}

    [[nodiscard]] asio::awaitable<exchange_result> run(exchange_plan plan) {
        exchange_result result;
        result.asked = boot_clock().now();
        try {
            const auto first = preparation(plan);
            std::vector<server_command> rest{plan.statement};
            if (plan.rolls_back) {
                rest.push_back(rollback_command());
            }
            const bool statement_sent_later =
                plan.await_transaction_begin && plan.transaction_begin;
            auto first_write = first;
            if (!statement_sent_later) {
                first_write.insert(first_write.end(), rest.begin(), rest.end());
                m_statement_sent = true;
                result.statement_sent = result.asked;
            }
            m_pool.mark_waiting(m_connection, steady_clock().now());
            m_answers_due = static_cast<int>(first_write.size());
            co_await m_connection.channel->send(std::move(first_write), remaining());
            if (!co_await receive_preparation(first, result)) {
                // A write that was sent together with the refused command may have run
                // nevertheless.
                result.status = m_statement_sent && plan.writes ? exchange_status::connection_lost
                                                                : exchange_status::not_run;
                co_return result;
            }
            if (statement_sent_later) {
                m_statement_sent = true;
                result.statement_sent = boot_clock().now();
                m_answers_due += static_cast<int>(rest.size());
                co_await m_connection.channel->send(std::move(rest), remaining());
            }
            result.answer = co_await m_connection.channel->receive(remaining());
            if (result.answer.code == answer_code::ok && result.answer.signature.empty()) {
                throw unexpected_answer(
                    "the answer to the statement was lost; received the answer to a later command");
            }
            --m_answers_due;
            if (needs_confirmation(plan, result.answer)) {
                co_await confirm();
            }
            result.status = exchange_status::answered;
            m_pool.mark_answered(m_connection, steady_clock().now());
        } catch (const server_timeout&) {
            m_pool.mark_timed_out(m_connection, steady_clock().now());
            end_without_answer(result, exchange_status::timed_out, answer_code::timed_out);
        } catch (const connection_unusable&) {
            m_statement_sent = false;
            end_without_answer(result, exchange_status::connection_lost, answer_code::aborted);
        } catch (const unexpected_answer&) {
            // It does not show that the server is failing.
            end_without_answer(result, exchange_status::connection_lost, answer_code::aborted);
        } catch (const server_unreachable&) {
            m_pool.mark_failed(steady_clock().now());
            end_without_answer(result, exchange_status::connection_lost, answer_code::aborted);
        }
        result.answers_due = m_answers_due;
        co_return result;
    }

private:
    /// The commands that precede the statement. Records them as sent.
    [[nodiscard]] std::vector<server_command> preparation(const exchange_plan& plan) {
        auto commands = m_connection.session_state.commands_for(
            plan.values, plan.shape ? &*plan.shape : nullptr);
        if (plan.transaction_begin) {
            commands.push_back(*plan.transaction_begin);
        }
        m_connection.session_state.sent(commands);
        return commands;
    }

    /// Whether it matters for the outcome that the answer may be an earlier error.
    [[nodiscard]] bool needs_confirmation(const exchange_plan& plan,
                                          const sessions::server_answer& answer) const {
        if (answer.code == answer_code::ok || m_connection.channel->error_is_certain()) {
            return false;
        }
        if (!plan.writes) {
            // Refusing a read that ran breaks no promise.
            return !guarantees_no_changes(answer.code);
        }
        // A failed transaction is rolled back unless this is its commit, or the write ran without
        // its begin.
        return answer.state == sessions::transaction_state::none || plan.transaction_begin ||
               plan.statement.ends_transaction;
    }

    [[nodiscard]] asio::awaitable<void> confirm() {
        m_pool.mark_answered(m_connection, steady_clock().now());
        while (m_answers_due > 0) {
            static_cast<void>(co_await m_connection.channel->receive(remaining()));
            --m_answers_due;
        }
        try {
            co_await m_connection.channel->confirm(std::min(remaining(), confirmation_limit));
        } catch (const server_timeout& timeout) {
            // The server has answered the statement, so it does not count as silent.
            throw unexpected_answer(timeout.what());
        }
        m_connection.session_state = {};
    }

    void end_without_answer(exchange_result& result, exchange_status if_sent,
                            answer_code code) const {
        result.status = m_statement_sent ? if_sent : exchange_status::not_run;
        result.answer = {};
        result.answer.code = code;
    }

    /// Receives the answers to the commands that precede the statement, and returns whether the
    /// server accepted all of them. If not, the connection has to be discarded with the answers
    /// that are still due.
    [[nodiscard]] asio::awaitable<bool>
    receive_preparation(const std::vector<server_command>& commands, exchange_result& result) {
        bool accepted = true;
        for (const auto& command : commands) {
            auto answer = co_await m_connection.channel->receive(remaining());
            --m_answers_due;
            if (answer.code == answer_code::ok) {
                m_connection.session_state.acknowledge(command);
            } else if (accepted) {
                accepted = false;
                result.answer = std::move(answer);
            }
        }
        if (!accepted) {
            m_pool.mark_answered(m_connection, steady_clock().now());
        }
        co_return accepted;
    }

    [[nodiscard]] clock::duration remaining() const {
        return std::max(m_deadline - steady_clock().now(), clock::duration::zero());
    }

    server_pool& m_pool;
    pooled_connection& m_connection;
    clock::time_point m_deadline;
    bool m_statement_sent = false;
    int m_answers_due = 0;
};

scheduling::statement_end end_of(const exchange_result& result) {
    if (result.answer.code == answer_code::busy) {
        return scheduling::statement_end::refused;
    }
    return result.status == exchange_status::answered ? scheduling::statement_end::answered
                                                      : scheduling::statement_end::unknown;
}

} // namespace

bool began_to_run(const exchange_result& result) {
    if (result.status != exchange_status::answered) {
        return result.status != exchange_status::not_run;
    }
    switch (result.answer.code) {
    case answer_code::ok:
    case answer_code::failed:
    case answer_code::timed_out:
        return true;
    default:
        return false;
    }
}

asio::awaitable<exchange_result> exchange(server_pool& pool, pooled_connection& connection,
                                          exchange_plan plan, clock::duration limit) {
    exchange_run run(pool, connection, limit);
    auto result = co_await run.run(std::move(plan));
    if (result.status != exchange_status::timed_out || pool.failing()) {
        // A server that answers others may still be executing a statement that it did not answer in
        // time.
        pool.end_statement(connection, end_of(result));
    }
    co_return result;
}

} // namespace oriole::routing
