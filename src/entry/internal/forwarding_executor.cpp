#include <utility>

#include "entry/internal/forwarding_executor.h"

#include "entry/internal/run_budget.h"

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::answer_code;

/// A gateway gives up by itself at a statement's deadline; its answer takes a moment.
constexpr clock::duration answer_margin = 30ms;
/// A read whose gateway has not answered for this long is run elsewhere. The gateway itself tries
/// a second server after 400 ms.
constexpr clock::duration read_patience = 650ms;

forwarded_statement forwarded_from(const statement_run& run, statement_place place) {
    forwarded_statement forwarded;
    forwarded.place = place;
    forwarded.route = *run.route;
    forwarded.account = run.account;
    forwarded.statement = run.statement;
    forwarded.decision = run.decision;
    forwarded.values = run.values;
    forwarded.own_commit = run.own_commit;
    forwarded.elapsed = steady_clock().now() - run.arrived;
    return forwarded;
}

run_outcome outcome_from(forwarded_outcome forwarded, const instance_id& gateway) {
    run_outcome outcome;
    outcome.answer = std::move(forwarded.answer);
    outcome.server = std::move(forwarded.server);
    outcome.attempts = forwarded.attempts;
    outcome.form = std::move(forwarded.form);
    outcome.required = forwarded.required;
    outcome.transaction_over = forwarded.transaction_over;
    outcome.gateway = gateway;
    return outcome;
}

run_outcome without_answer(answer_code code, const instance_id& gateway) {
    run_outcome outcome;
    outcome.answer.code = code;
    outcome.gateway = gateway;
    outcome.form = "gateway_silent";
    outcome.attempts = 1;
    return outcome;
}

/// What the caller is told when a gateway took a statement that may be kept and did not answer.
answer_code unknown_end(const run_budget& budget) {
    return steady_clock().now() >= budget.deadline() ? answer_code::timed_out
                                                     : answer_code::in_doubt;
}

class forwarded_transaction final : public statement_transaction {
public:
    forwarded_transaction(gateway_calls& calls, fleet::listed_instance gateway,
                          std::uint64_t number, server_name server, bool wrote)
        : m_calls(calls),
          m_gateway(std::move(gateway)),
          m_number(number),
          m_server(std::move(server)),
          m_wrote(wrote) {}

    asio::awaitable<run_outcome> run_next(statement_run run) override {
        const bool commits = run.statement.kind == sessions::statement_kind::commit;
        const run_budget budget(*run.route, run.arrived);
        auto forwarded = forwarded_from(run, statement_place::next);
        forwarded.transaction = m_number;
        m_wrote = m_wrote || run.decision.writes;
        run_outcome outcome;
        bool silent = false;
        try {
            auto answer = co_await m_calls.run(m_gateway, std::move(forwarded),
                                               budget.deadline() + answer_margin);
            outcome = outcome_from(std::move(answer), m_gateway.id);
            co_return outcome;
        } catch (const gateway_refused&) {
            silent = false;
        } catch (const gateway_silent&) {
            silent = true;
        }
        // Only a commit that the gateway may have passed on can be kept.
        const bool may_be_kept = silent && commits && m_wrote;
        outcome =
            without_answer(may_be_kept ? unknown_end(budget) : answer_code::aborted, m_gateway.id);
        outcome.transaction_over = true;
        co_return outcome;
    }

    void roll_back() override { m_calls.roll_back(m_gateway, m_number); }

    bool wrote() const override { return m_wrote; }

    server_name server() const override { return m_server; }

private:
    gateway_calls& m_calls;
    fleet::listed_instance m_gateway;
    std::uint64_t m_number;
    server_name m_server;
    bool m_wrote;
};

} // namespace

asio::awaitable<run_outcome> forwarding_executor::run_alone(statement_run run) {
    const run_budget budget(*run.route, run.arrived);
    for (const auto& gateway : usable_gateways()) {
        auto deadline = budget.deadline() + answer_margin;
        if (!run.decision.writes) {
            deadline = std::min(deadline, steady_clock().now() + read_patience);
        }
        bool silent = false;
        try {
            auto forwarded = forwarded_from(run, statement_place::alone);
            auto answer = co_await m_calls.run(gateway, std::move(forwarded), deadline);
            co_return outcome_from(std::move(answer), gateway.id);
        } catch (const gateway_refused&) {
            silent = false;
        } catch (const gateway_silent&) {
            silent = true;
        }
        if (silent && run.decision.writes) {
            co_return without_answer(unknown_end(budget), gateway.id);
        }
        if (steady_clock().now() >= budget.deadline()) {
            co_return without_answer(answer_code::timed_out, gateway.id);
        }
    }
    co_return co_await m_local.run_alone(std::move(run));
}

asio::awaitable<run_outcome>
forwarding_executor::run_first(statement_run run, bool reads_only,
                               std::unique_ptr<statement_transaction>& transaction) {
    const run_budget budget(*run.route, run.arrived);
    const bool commits = run.statement.kind == sessions::statement_kind::commit;
    for (const auto& gateway : usable_gateways()) {
        bool silent = false;
        try {
            auto forwarded = forwarded_from(run, statement_place::first);
            forwarded.reads_only = reads_only;
            auto answer = co_await m_calls.run(gateway, std::move(forwarded),
                                               budget.deadline() + answer_margin);
            const auto number = answer.transaction;
            auto outcome = outcome_from(std::move(answer), gateway.id);
            if (number != 0) {
                transaction = std::make_unique<forwarded_transaction>(
                    m_calls, gateway, number, outcome.server, run.decision.writes);
            }
            co_return outcome;
        } catch (const gateway_refused&) {
            silent = false;
        } catch (const gateway_silent&) {
            silent = true;
        }
        if (silent) {
            // Without the transaction's number nobody can commit what the statement did.
            co_return without_answer(commits ? unknown_end(budget) : answer_code::aborted,
                                     gateway.id);
        }
    }
    co_return co_await m_local.run_first(std::move(run), reads_only, transaction);
}

std::vector<fleet::listed_instance> forwarding_executor::usable_gateways() const {
    std::vector<fleet::listed_instance> usable;
    const auto now = steady_clock().now();
    std::copy_if(m_gateways.begin(), m_gateways.end(), std::back_inserter(usable),
                 [this, now](const auto& gateway) { return m_calls.usable(gateway.id, now); });
    return usable;
}

} // namespace oriole::entry
