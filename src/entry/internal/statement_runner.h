#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "entry/internal/server_exchange.h"
#include "entry/internal/service_traffic.h"
#include "fleet/types/configuration.h"
#include "sessions/caller_session.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace oriole::entry {

/// A statement with all that decides where it runs.
struct statement_run {
    const fleet::route* route = nullptr; ///< stays valid during the run
    account_name account;
    sessions::statement statement;
    sessions::session_decision decision;
    sessions::session_values values;
    std::optional<machines::log_position> own_commit;
    clock::time_point arrived{};
};

/// A caller's transaction at its server.
struct open_transaction {
    pool_ptr pool;
    std::unique_ptr<pooled_connection> connection;
    bool at_primary = false; ///< begun as a transaction that may write
    bool wrote = false;
};

/// How a statement ended, and how it got there.
struct run_outcome {
    sessions::server_answer answer;
    server_name server;
    int attempts = 0;
    std::string form = "none"; ///< which proof let the server run it
    std::optional<machines::log_position> required;
    bool transaction_over = false; ///< the open transaction is gone
    instance_id gateway;           ///< that ran it for this instance; empty when it ran here
};

/// Runs statements at servers so that each sees what its route promises, and answers truthfully
/// when a server does not. Not thread-safe; used on the traffic thread.
class statement_runner {
public:
    /// Runs a statement outside any transaction.
    [[nodiscard]] boost::asio::awaitable<run_outcome> run_alone(service_traffic& service,
                                                                statement_run run);

    /// Runs the first statement of a transaction and fills `transaction`, unless it fails.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_first(service_traffic& service, statement_run run, bool reads_only,
              std::unique_ptr<open_transaction>& transaction);

    /// Runs a further statement of the transaction, or its commit.
    [[nodiscard]] boost::asio::awaitable<run_outcome>
    run_next(service_traffic& service, statement_run run, open_transaction& transaction);

    /// Rolls the transaction back; its connection goes back to the pool.
    static void roll_back(std::unique_ptr<open_transaction> transaction);
};

} // namespace oriole::entry
