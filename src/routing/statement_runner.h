#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "fleet/types/configuration.h"
#include "routing/server_exchange.h"
#include "routing/service_traffic.h"
#include "routing/statement_handover.h"
#include "sessions/caller_session.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace oriole::routing {

/// A statement with everything that determines where it may run.
struct statement_run {
    const fleet::route* route = nullptr; ///< must stay valid while the statement runs
    account_name account;
    sessions::statement statement;
    sessions::session_decision decision;
    sessions::session_values values;
    std::optional<machines::log_position> own_commit;
    clock::time_point arrived{};
    /// Shared by all copies. Not null.
    std::shared_ptr<statement_handover> handover = std::make_shared<statement_handover>();
};

/// A client's open transaction on its connection to a server. Destroying it closes the connection,
/// which rolls the transaction back, unless the connection was returned to the pool.
struct open_transaction {
    open_transaction() = default;
    ~open_transaction();
    open_transaction(const open_transaction&) = delete;
    open_transaction& operator=(const open_transaction&) = delete;

    pool_ptr pool;
    std::unique_ptr<pooled_connection> connection;
    bool at_primary = false; ///< begun as a read-write transaction
    bool wrote = false;
};

/// Result of a statement, with details of its execution for the decision log.
struct run_outcome {
    sessions::server_answer answer;
    server_name server;
    int attempts = 0;
    /// Rule by which the server was chosen, such as "position" or "lead".
    std::string routing_basis = "none";
    std::optional<machines::log_position> required;
    bool transaction_finished = false; ///< the transaction was committed, rolled back or lost
    instance_id gateway;               ///< instance that ran the statement; empty when it ran here
};

/// Runs statements at servers with the consistency that their route requires. When a server fails,
/// the answer code tells whether changes may have been committed. Not thread-safe; used on the
/// traffic thread.
class statement_runner {
public:
    /// Runs a statement that is not part of an explicit transaction.
    [[nodiscard]] boost::asio::awaitable<run_outcome> run_autocommit(service_traffic& service,
                                                                     statement_run run);

    /// Runs the first statement of a transaction and sets `transaction` unless the statement fails.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_first(service_traffic& service, statement_run run, bool reads_only,
              std::unique_ptr<open_transaction>& transaction);

    /// Runs a further statement of the transaction, or its commit.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_next(service_traffic& service, statement_run run, open_transaction& transaction);

    /// Rolls the transaction back in the background; its connection returns to the pool.
    static void roll_back(std::unique_ptr<open_transaction> transaction);
};

} // namespace oriole::routing
