#include <utility>

#include "entry/internal/statement_runner.h"

#include "entry/internal/placement.h"
#include "entry/internal/run_budget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using fleet::read_policy;
using sessions::answer_code;
using sessions::order_kind;
using sessions::server_order;
using sessions::statement_kind;

/// For sending a rollback that nobody waits for.
constexpr clock::duration rollback_limit = 400ms;

} // namespace

asio::awaitable<run_outcome> statement_runner::run_alone(service_traffic& service,
                                                         statement_run run) {
    const bool writes = run.decision.writes;
    placement place(service, std::move(run));
    if (writes) {
        co_return co_await place.run_at_primary(nullptr);
    }
    co_return co_await place.read_anywhere(nullptr);
}

asio::awaitable<run_outcome>
statement_runner::run_first(service_traffic& service, statement_run run, bool reads_only,
                            std::unique_ptr<open_transaction>& transaction) {
    const bool anywhere = reads_only && run.route->policy != read_policy::newest &&
                          run.statement.kind != statement_kind::commit;
    placement place(service, std::move(run));
    if (anywhere) {
        co_return co_await place.read_anywhere(&transaction);
    }
    co_return co_await place.run_at_primary(&transaction);
}

asio::awaitable<run_outcome> statement_runner::run_next(service_traffic& service, statement_run run,
                                                        open_transaction& transaction) {
    const bool commits = run.statement.kind == statement_kind::commit;
    const run_budget budget(*run.route, run.arrived);
    exchange_plan plan;
    plan.values = run.values;
    plan.shape = run.decision.shape;
    plan.statement = caller_order(run);
    plan.writes = run.decision.writes || commits;
    auto& pool = *transaction.pool;
    auto result = co_await exchange(pool, *transaction.connection, std::move(plan),
                                    budget.deadline() - steady_clock().now());
    run_outcome outcome;
    outcome.answer = std::move(result.answer);
    outcome.server = pool.server().id;
    outcome.attempts = 1;
    outcome.form = "transaction";
    auto& answer = outcome.answer;
    if (result.end == exchange_end::answered && answer.code == answer_code::ok) {
        transaction.wrote = transaction.wrote || run.decision.writes;
        // A commit without writes succeeds at a server that has lost the lead.
        const bool proves = transaction.at_primary && (!commits || transaction.wrote);
        if (proves && answer.position) {
            service.proved(pool, {result.asked, *answer.position});
        }
        outcome.transaction_over = commits;
        if (commits) {
            pool.release(std::move(transaction.connection));
        }
        co_return outcome;
    }
    outcome.transaction_over = true;
    pool.discard(std::move(transaction.connection));
    if (result.end == exchange_end::silent) {
        answer.code = answer_code::timed_out;
    } else if (result.end == exchange_end::broken) {
        answer.code = commits ? answer_code::in_doubt : answer_code::aborted;
    } else if (result.end == exchange_end::not_run) {
        answer.code = answer_code::aborted;
    }
    co_return outcome;
}

void statement_runner::roll_back(std::unique_ptr<open_transaction> transaction) {
    if (transaction == nullptr || transaction->connection == nullptr) {
        return;
    }
    auto roll = [](std::unique_ptr<open_transaction> ended) -> asio::awaitable<void> {
        server_order order;
        order.kind = order_kind::rollback;
        try {
            std::vector<server_order> orders{order};
            co_await ended->connection->channel->send(std::move(orders), rollback_limit);
            ended->pool->release_after_answers(std::move(ended->connection), 1);
        } catch (const server_unreachable&) {
            ended->pool->discard(std::move(ended->connection));
        }
    };
    const auto executor = transaction->pool->executor();
    asio::co_spawn(executor, roll(std::move(transaction)), asio::detached);
}

} // namespace oriole::entry
