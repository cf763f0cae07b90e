#pragma once

#include <utility>

#include "routing/run_budget.h"
#include "routing/statement_runner.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <set>

namespace oriole::routing {

/// Builds the message that runs a client's statement at a server: the unchanged text, or for a
/// prepared statement an execute command with the statement's name on the connection.
[[nodiscard]] sessions::server_command caller_command(const statement_run& run);

/// Selects a server for one statement and runs the statement there, with retries where they are
/// safe. Not thread-safe; used for one statement only.
class statement_router {
public:
    statement_router(service_traffic& service, statement_run run)
        : m_service(service), m_run(std::move(run)), m_budget(*m_run.route, m_run.arrived) {
        m_service.retries().add_statement(m_run.account);
    }

    /// Runs a read outside a transaction, or begins a read-only transaction if `transaction` is not
    /// null, at any server that has reached the required log position; at the primary when the
    /// required position is not known.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_read(std::unique_ptr<open_transaction>* transaction);

    /// Runs a write outside a transaction, or the first statement of a read-write transaction if
    /// `transaction` is not null.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_at_primary(std::unique_ptr<open_transaction>* transaction);

private:
    /// Returns a server for the read that has not been tried yet; null when all were tried.
    [[nodiscard]] pool_ptr next_reader(const machines::log_position& required);

    [[nodiscard]] run_outcome last_outcome(sessions::answer_code code);

    /// Returns whether a server ran the statement and failed it, for the first time, while there
    /// are servers that were not tried.
    [[nodiscard]] bool is_first_failure(sessions::answer_code code);

    /// Returns whether the statement may be tried again after an attempt that ended so.
    /// `runs_elsewhere` says that it may although it ran, since it is a read.
    [[nodiscard]] bool may_try_again(const run_outcome& outcome, bool runs_elsewhere = false);

    [[nodiscard]] boost::asio::awaitable<bool> wait_for_primary(clock::duration limit);

    /// Waits before the servers are tried once more. Returns false when that is not worth it.
    [[nodiscard]] boost::asio::awaitable<bool> pause();

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

    /// Returns whether the server's success arrived after the lease on it had ended, so that it
    /// does not show that the server was the primary.
    [[nodiscard]] bool answered_without_lease(const server_pool& pool,
                                              const exchange_result& result) const;

    /// Returns the answer code for the client when the statement's answer is missing or is an
    /// error. It must not claim that nothing was changed when the changes may have been committed.
    [[nodiscard]] static sessions::answer_code
    code_after_failure(exchange_status status, sessions::answer_code code, bool may_be_committed);

    void record_answer(server_pool& pool, const exchange_result& result,
                       const std::optional<machines::log_position>& required, bool proves);

    /// The outcome of an attempt that got no connection, so that nothing was sent.
    [[nodiscard]] run_outcome
    without_connection(const pool_grant& grant, const server_pool& pool,
                       const std::optional<machines::log_position>& required);

    [[nodiscard]] run_outcome with_server(run_outcome outcome, const server_pool& pool,
                                          const std::optional<machines::log_position>& required);

    service_traffic& m_service;
    statement_run m_run;
    run_budget m_budget;
    std::set<server_name> m_tried_servers;
    std::optional<run_outcome> m_last_outcome;
    int m_attempts = 0;
    bool m_refused_by_server = false; ///< a server had too much work, since the last pause
    int m_refused_here = 0; ///< attempts that could not start in time, since the last pause
    int m_attempts_before_pause = 0;
    std::uint32_t m_retries = 0;  ///< after refusals by servers
    bool m_failed_before = false; ///< a server ran the statement and failed it
};

} // namespace oriole::routing
