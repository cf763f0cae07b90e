#include <utility>

#include "entry/internal/server_exchange.h"

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using sessions::answer_code;
using sessions::order_kind;
using sessions::server_order;

server_order rollback_order() {
    server_order order;
    order.kind = order_kind::rollback;
    return order;
}

/// One pass over a connection: sends orders and receives their answers.
class exchange_run {
public:
    exchange_run(server_pool& pool, pooled_connection& connection, clock::duration limit)
        : m_pool(pool), m_connection(connection), m_deadline(steady_clock().now() + limit) {}

    [[nodiscard]] asio::awaitable<exchange_result> run(exchange_plan plan) {
        exchange_result result;
        result.asked = boot_clock().now();
        try {
            auto first =
                m_connection.alignment.orders_for(plan.values, plan.shape ? &*plan.shape : nullptr);
            if (plan.opening) {
                first.push_back(*plan.opening);
            }
            m_connection.alignment.sent(first);
            std::vector<server_order> rest{plan.statement};
            if (plan.rolls_back) {
                rest.push_back(rollback_order());
            }
            const bool separate = plan.opening_first && plan.opening;
            auto now = first;
            if (!separate) {
                now.insert(now.end(), rest.begin(), rest.end());
                m_statement_sent = true;
            }
            m_pool.mark_waiting(m_connection, steady_clock().now());
            m_due = static_cast<int>(now.size());
            co_await m_connection.channel->send(std::move(now), remaining());
            if (!co_await prepared(first, result)) {
                // A write that followed in the same send may have run all the same.
                result.end =
                    m_statement_sent && plan.writes ? exchange_end::broken : exchange_end::not_run;
                co_return result;
            }
            if (separate) {
                m_statement_sent = true;
                m_due += static_cast<int>(rest.size());
                co_await m_connection.channel->send(std::move(rest), remaining());
            }
            result.answer = co_await m_connection.channel->receive(remaining());
            if (result.answer.code == answer_code::ok && result.answer.signature.empty()) {
                throw server_unreachable("the statement's answer was lost, a later one came");
            }
            --m_due;
            result.end = exchange_end::answered;
            m_pool.mark_answered(m_connection, steady_clock().now());
        } catch (const server_silent&) {
            result.end = m_statement_sent ? exchange_end::silent : exchange_end::not_run;
            result.answer.code = answer_code::timed_out;
        } catch (const server_unreachable&) {
            m_pool.mark_failed(steady_clock().now());
            result.end = m_statement_sent ? exchange_end::broken : exchange_end::not_run;
            result.answer.code = answer_code::aborted;
        }
        result.answers_due = m_due;
        co_return result;
    }

private:
    /// Whether the server accepted what goes before the statement. If not, the answers that are
    /// still due are of no interest, and neither is the connection.
    [[nodiscard]] asio::awaitable<bool> prepared(const std::vector<server_order>& orders,
                                                 exchange_result& result) {
        bool accepted = true;
        for (const auto& order : orders) {
            auto answer = co_await m_connection.channel->receive(remaining());
            --m_due;
            if (answer.code == answer_code::ok) {
                m_connection.alignment.acknowledge(order);
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
    int m_due = 0;
};

} // namespace

asio::awaitable<exchange_result> exchange(server_pool& pool, pooled_connection& connection,
                                          exchange_plan plan, clock::duration limit) {
    exchange_run run(pool, connection, limit);
    co_return co_await run.run(std::move(plan));
}

} // namespace oriole::entry
