#pragma once

#include <utility>

#include "entry/internal/run_budget.h"
#include "entry/internal/statement_runner.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <set>

namespace oriole::entry {

/// What runs a caller's statement at a server: its text unchanged, or an execute under the
/// connection's name of the shape.
[[nodiscard]] sessions::server_order caller_order(const statement_run& run);

/// One statement on its way to a server that may run it. Not thread-safe; used once.
class placement {
public:
    placement(service_traffic& service, statement_run run)
        : m_service(service), m_run(std::move(run)), m_budget(*m_run.route, m_run.arrived) {}

    /// Runs a read outside a transaction, or begins a transaction that only reads, at any server
    /// that shows the required position; at the primary when none is known.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    read_anywhere(std::unique_ptr<open_transaction>* transaction);

    /// Runs a write outside a transaction, or the first statement of one that may write.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_at_primary(std::unique_ptr<open_transaction>* transaction);

private:
    /// The best reader that has not been tried.
    [[nodiscard]] pool_ptr next_reader(const machines::log_position& required);

    [[nodiscard]] run_outcome last_outcome(sessions::answer_code code);

    [[nodiscard]] boost::asio::awaitable<bool> wait_for_primary();

    [[nodiscard]] boost::asio::awaitable<bool> pause() { return wait_for_primary(); }

    [[nodiscard]] boost::asio::awaitable<pool_grant> acquire(const pool_ptr& pool);

    [[nodiscard]] exchange_plan plan_for(const std::optional<machines::log_position>& required,
                                         bool begins) const;

    [[nodiscard]] boost::asio::awaitable<run_outcome>
    try_read(pool_ptr pool, std::optional<machines::log_position> required,
             std::unique_ptr<open_transaction>* transaction);

    [[nodiscard]] run_outcome finish_read(const pool_ptr& pool,
                                          std::unique_ptr<pooled_connection> connection,
                                          exchange_result result,
                                          const std::optional<machines::log_position>& required,
                                          std::unique_ptr<open_transaction>* transaction);

    [[nodiscard]] boost::asio::awaitable<run_outcome>
    try_primary(pool_ptr pool, std::unique_ptr<open_transaction>* transaction);

    [[nodiscard]] run_outcome finish_primary(const pool_ptr& pool,
                                             std::unique_ptr<pooled_connection> connection,
                                             exchange_result result,
                                             std::unique_ptr<open_transaction>* transaction);

    /// What the caller may be told when the statement's answer is missing or an error.
    [[nodiscard]] static sessions::answer_code
    code_after_failure(exchange_end end, sessions::answer_code code, bool may_be_kept);

    void note(server_pool& pool, const exchange_result& result,
              const std::optional<machines::log_position>& required, bool proves);

    [[nodiscard]] run_outcome described(run_outcome outcome, const server_pool& pool,
                                        const std::optional<machines::log_position>& required);

    service_traffic& m_service;
    statement_run m_run;
    run_budget m_budget;
    std::set<server_name> m_tried;
    std::optional<run_outcome> m_last;
    int m_attempts = 0;
};

} // namespace oriole::entry
