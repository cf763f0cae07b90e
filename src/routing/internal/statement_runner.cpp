#include <utility>

#include "routing/statement_runner.h"

#include "routing/internal/statement_router.h"
#include "routing/run_budget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using fleet::read_policy;
using sessions::answer_code;
using sessions::command_kind;
using sessions::server_command;
using sessions::statement_kind;

/// Time limit for sending a rollback in the background.
constexpr clock::duration rollback_limit = 400ms;

/// Ends a transaction without the answer of its server. Closing the connection rolls back what is
/// open on it.
run_outcome abandon(open_transaction& transaction, answer_code code, std::string reason) {
    run_outcome outcome;
    outcome.answer.code = code;
    outcome.server = transaction.pool->server().id;
    outcome.attempts = 1;
    outcome.routing_basis = std::move(reason);
    outcome.transaction_finished = true;
    transaction.pool->discard(std::move(transaction.connection));
    return outcome;
}

/// The answer code of a statement of a transaction that failed, which ends the transaction.
answer_code code_after_failure(exchange_status status, answer_code code, bool commits) {
    switch (status) {
    case exchange_status::timed_out:
        return answer_code::timed_out;
    case exchange_status::connection_lost:
        return commits ? answer_code::in_doubt : answer_code::aborted;
    case exchange_status::not_run:
        return answer_code::aborted;
    case exchange_status::answered:
        break;
    }
    return code;
}

} // namespace

open_transaction::~open_transaction() {
    if (connection != nullptr) {
        pool->discard(std::move(connection));
    }
}

asio::awaitable<run_outcome> statement_runner::run_autocommit(service_traffic& service,
                                                              statement_run run) {
    const bool writes = run.decision.writes;
    statement_router router(service, std::move(run));
    if (writes) {
        co_return co_await router.run_at_primary(nullptr);
    }
    co_return co_await router.run_read(nullptr);
}

asio::awaitable<run_outcome>
statement_runner::run_first(service_traffic& service, statement_run run, bool reads_only,
                            std::unique_ptr<open_transaction>& transaction) {
    const bool any_server = reads_only && run.route->policy != read_policy::newest &&
                            run.statement.kind != statement_kind::commit;
    statement_router router(service, std::move(run));
    if (any_server) {
        co_return co_await router.run_read(&transaction);
    }
    co_return co_await router.run_at_primary(&transaction);
}

asio::awaitable<run_outcome> statement_runner::run_next(service_traffic& service, statement_run run,
                                                        open_transaction& transaction) {
    const bool commits = run.statement.kind == statement_kind::commit;
    const run_budget budget(*run.route, run.arrived);
    exchange_plan plan;
    plan.values = run.values;
    plan.shape = run.decision.shape;
    plan.statement = caller_command(run);
    plan.writes = run.decision.writes || commits;
    auto& pool = *transaction.pool;
    if (transaction.at_primary && !service.may_use_as_primary(pool)) {
        co_return abandon(transaction, answer_code::aborted, "lease_ended");
    }
    if (!run.handover->hand_over()) {
        co_return abandon(transaction, answer_code::aborted, "withdrawn");
    }
    pool.begin_statement(*transaction.connection, run.route->priority);
    auto result = co_await exchange(pool, *transaction.connection, std::move(plan),
                                    budget.deadline() - steady_clock().now());
    if (!transaction.at_primary) {
        service.record_read(pool, result, *run.route, true, steady_clock().now());
    }
    if (result.status == exchange_status::timed_out) {
        service.record_silence(pool);
    }
    const bool may_be_committed = commits && transaction.wrote;
    if (transaction.at_primary && (!commits || may_be_committed) &&
        result.status == exchange_status::answered && result.answer.code == answer_code::ok &&
        !service.may_use_as_primary(pool)) {
        // The answer may be that of a server that was no longer the primary.
        co_return abandon(transaction,
                          may_be_committed ? answer_code::in_doubt : answer_code::aborted,
                          "lease_ended");
    }
    run_outcome outcome;
    outcome.answer = std::move(result.answer);
    outcome.server = pool.server().id;
    outcome.attempts = 1;
    outcome.routing_basis = "transaction";
    auto& answer = outcome.answer;
    if (result.status == exchange_status::answered && answer.code == answer_code::ok) {
        transaction.wrote = transaction.wrote || run.decision.writes;
        // The commit of a transaction without writes succeeds even at a server that is no longer
        // the primary, so it proves nothing.
        const bool proves = transaction.at_primary && (!commits || transaction.wrote);
        if (proves && answer.position) {
            service.add_proof(pool, {result.asked, *answer.position});
        }
        outcome.transaction_finished = commits;
        if (commits) {
            pool.release(std::move(transaction.connection));
        }
        co_return outcome;
    }
    outcome.transaction_finished = true;
    pool.discard(std::move(transaction.connection));
    answer.code = code_after_failure(result.status, answer.code, commits);
    co_return outcome;
}

void statement_runner::roll_back(std::unique_ptr<open_transaction> transaction) {
    if (transaction == nullptr || transaction->connection == nullptr) {
        return;
    }
    auto send_rollback = [](std::unique_ptr<open_transaction> ended) -> asio::awaitable<void> {
        server_command command;
        command.kind = command_kind::rollback;
        try {
            std::vector<server_command> commands{command};
            co_await ended->connection->channel->send(std::move(commands), rollback_limit);
            ended->pool->release_after_answers(std::move(ended->connection), 1);
        } catch (const server_unreachable&) {
            ended->pool->discard(std::move(ended->connection));
        }
    };
    const auto executor = transaction->pool->executor();
    asio::co_spawn(executor, send_rollback(std::move(transaction)), asio::detached);
}

} // namespace oriole::routing
