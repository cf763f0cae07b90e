#include <utility>

#include "entry/internal/forwarding_executor.h"

#include "routing/run_budget.h"

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::answer_code;

/// A gateway stops at the statement's deadline by itself; this allows for the transit time of its
/// answer.
constexpr clock::duration answer_margin = 30ms;
/// A read is retried at another gateway after this time without an answer. It leaves the gateway
/// time to try a second server, which it does after 400 ms.
constexpr clock::duration gateway_read_timeout = 650ms;

forwarded_statement forwarded_from(const routing::statement_run& run, transaction_phase phase) {
    forwarded_statement forwarded;
    forwarded.phase = phase;
    forwarded.route = *run.route;
    forwarded.account = run.account;
    forwarded.statement = run.statement;
    forwarded.decision = run.decision;
    forwarded.values = run.values;
    forwarded.own_commit = run.own_commit;
    forwarded.elapsed = steady_clock().now() - run.arrived;
    return forwarded;
}

routing::run_outcome outcome_from(forwarded_outcome forwarded, const instance_id& gateway) {
    routing::run_outcome outcome;
    outcome.answer = std::move(forwarded.answer);
    outcome.server = std::move(forwarded.server);
    outcome.attempts = forwarded.attempts;
    outcome.routing_basis = std::move(forwarded.routing_basis);
    outcome.required = forwarded.required;
    outcome.transaction_finished = forwarded.transaction_finished;
    outcome.gateway = gateway;
    return outcome;
}

routing::run_outcome outcome_without_answer(answer_code code, const instance_id& gateway) {
    routing::run_outcome outcome;
    outcome.answer.code = code;
    outcome.gateway = gateway;
    outcome.routing_basis = "gateway_silent";
    outcome.attempts = 1;
    return outcome;
}

/// The outcome of a statement that is not sent to a gateway, because it was withdrawn.
routing::run_outcome withdrawn_outcome(answer_code code) {
    routing::run_outcome outcome;
    outcome.answer.code = code;
    outcome.routing_basis = "withdrawn";
    return outcome;
}

/// Returns whether the statement has to run over this instance's own connections, because only its
/// answer did not fit into a message of the gateway. It changed nothing.
bool needs_own_connection(const forwarded_outcome& outcome) {
    return outcome.answer_too_long && guarantees_no_changes(outcome.answer.code);
}

/// The answer code when a gateway accepted a statement whose changes may have been committed, and
/// then did not answer.
answer_code code_without_answer(const routing::run_budget& budget) {
    return steady_clock().now() >= budget.deadline() ? answer_code::timed_out
                                                     : answer_code::in_doubt;
}

class forwarded_transaction final : public statement_transaction {
public:
    forwarded_transaction(gateway_calls& calls, fleet::registered_instance gateway,
                          std::uint64_t transaction_id, server_name server, bool wrote)
        : m_calls(calls),
          m_gateway(std::move(gateway)),
          m_transaction_id(transaction_id),
          m_server(std::move(server)),
          m_wrote(wrote) {}

    asio::awaitable<routing::run_outcome> run_next(routing::statement_run run) override {
        const bool commits = run.statement.kind == sessions::statement_kind::commit;
        const routing::run_budget budget(*run.route, run.arrived);
        auto forwarded = forwarded_from(run, transaction_phase::next);
        forwarded.transaction = m_transaction_id;
        m_wrote = m_wrote || run.decision.writes;
        routing::run_outcome outcome;
        bool no_answer = false;
        if (!run.handover->hand_over()) {
            m_calls.roll_back(m_gateway, m_transaction_id);
            outcome = withdrawn_outcome(answer_code::aborted);
            outcome.transaction_finished = true;
            co_return outcome;
        }
        try {
            auto answer = co_await m_calls.run(m_gateway, std::move(forwarded),
                                               budget.deadline() + answer_margin);
            outcome = outcome_from(std::move(answer), m_gateway.id);
            co_return outcome;
        } catch (const gateway_refused&) {
            no_answer = false;
        } catch (const gateway_outcome_unknown&) {
            no_answer = true;
        }
        // Changes can only have been committed if the gateway may have run a commit; otherwise the
        // transaction is rolled back.
        const bool may_be_committed = no_answer && commits && m_wrote;
        outcome = outcome_without_answer(
            may_be_committed ? code_without_answer(budget) : answer_code::aborted, m_gateway.id);
        outcome.transaction_finished = true;
        co_return outcome;
    }

    void roll_back() override { m_calls.roll_back(m_gateway, m_transaction_id); }

    bool wrote() const override { return m_wrote; }

    server_name server() const override { return m_server; }

private:
    gateway_calls& m_calls;
    fleet::registered_instance m_gateway;
    std::uint64_t m_transaction_id;
    server_name m_server;
    bool m_wrote;
};

} // namespace

asio::awaitable<routing::run_outcome>
forwarding_executor::run_autocommit(routing::statement_run run) {
    const routing::run_budget budget(*run.route, run.arrived);
    for (const auto& gateway : usable_gateways()) {
        auto deadline = budget.deadline() + answer_margin;
        if (!run.decision.writes) {
            deadline = std::min(deadline, steady_clock().now() + gateway_read_timeout);
        }
        bool no_answer = false;
        bool answer_too_long = false;
        if (!run.handover->hand_over()) {
            co_return withdrawn_outcome(answer_code::busy);
        }
        try {
            auto forwarded = forwarded_from(run, transaction_phase::autocommit);
            auto answer = co_await m_calls.run(gateway, std::move(forwarded), deadline);
            if (!needs_own_connection(answer)) {
                co_return outcome_from(std::move(answer), gateway.id);
            }
            answer_too_long = true;
        } catch (const gateway_refused&) {
            no_answer = false;
        } catch (const gateway_outcome_unknown&) {
            no_answer = true;
        }
        if (no_answer && run.decision.writes) {
            co_return outcome_without_answer(code_without_answer(budget), gateway.id);
        }
        run.handover->take_back();
        if (steady_clock().now() >= budget.deadline()) {
            co_return outcome_without_answer(answer_code::timed_out, gateway.id);
        }
        if (answer_too_long) {
            break;
        }
    }
    co_return co_await m_local.run_autocommit(std::move(run));
}

asio::awaitable<routing::run_outcome>
forwarding_executor::run_first(routing::statement_run run, bool reads_only,
                               std::unique_ptr<statement_transaction>& transaction) {
    const routing::run_budget budget(*run.route, run.arrived);
    const bool commits = run.statement.kind == sessions::statement_kind::commit;
    for (const auto& gateway : usable_gateways()) {
        bool no_answer = false;
        bool answer_too_long = false;
        if (!run.handover->hand_over()) {
            co_return withdrawn_outcome(answer_code::busy);
        }
        try {
            auto forwarded = forwarded_from(run, transaction_phase::first);
            forwarded.reads_only = reads_only;
            auto answer = co_await m_calls.run(gateway, std::move(forwarded),
                                               budget.deadline() + answer_margin);
            if (!needs_own_connection(answer)) {
                const auto transaction_id = answer.transaction;
                auto outcome = outcome_from(std::move(answer), gateway.id);
                if (transaction_id != 0) {
                    transaction = std::make_unique<forwarded_transaction>(
                        m_calls, gateway, transaction_id, outcome.server, run.decision.writes);
                }
                co_return outcome;
            }
            answer_too_long = true;
        } catch (const gateway_refused&) {
            no_answer = false;
        } catch (const gateway_outcome_unknown&) {
            no_answer = true;
        }
        if (no_answer) {
            // The transaction's id is lost with the answer, so the transaction can no longer be
            // committed, unless this statement was the commit itself.
            co_return outcome_without_answer(
                commits ? code_without_answer(budget) : answer_code::aborted, gateway.id);
        }
        run.handover->take_back();
        if (answer_too_long) {
            break;
        }
    }
    co_return co_await m_local.run_first(std::move(run), reads_only, transaction);
}

std::vector<fleet::registered_instance> forwarding_executor::usable_gateways() const {
    std::vector<fleet::registered_instance> usable;
    const auto now = steady_clock().now();
    std::copy_if(m_gateways.begin(), m_gateways.end(), std::back_inserter(usable),
                 [this, now](const auto& gateway) { return m_calls.usable(gateway.id, now); });
    return usable;
}

} // namespace oriole::entry
