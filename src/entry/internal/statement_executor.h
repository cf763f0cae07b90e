#pragma once

#include "routing/statement_runner.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace oriole::entry {

/// A client's open transaction, here or at a gateway. One that is destroyed here while it is open
/// is rolled back. Not thread-safe; used on the traffic thread.
class statement_transaction {
public:
    virtual ~statement_transaction() = default;

    /// Runs a further statement, or the commit. An outcome with `transaction_finished` ends the
    /// transaction; the object must not be used after it.
    [[nodiscard]] virtual boost::asio::awaitable<routing::run_outcome>
    run_next(routing::statement_run run) = 0;

    /// Starts a rollback without waiting for the answer. Precondition: no statement is running.
    virtual void roll_back() = 0;

    /// Returns whether a statement of the transaction may have changed data.
    [[nodiscard]] virtual bool wrote() const = 0;

    [[nodiscard]] virtual server_name server() const = 0;
};

/// Runs the statements of one service. Not thread-safe; used on the traffic thread.
class statement_executor {
public:
    virtual ~statement_executor() = default;

    /// Runs a statement that is not part of an explicit transaction.
    [[nodiscard]] virtual boost::asio::awaitable<routing::run_outcome>
    run_autocommit(routing::statement_run run) = 0;

    /// Runs the first statement of a transaction and sets `transaction` unless the statement fails.
    [[nodiscard]] virtual boost::asio::awaitable<routing::run_outcome>
    run_first(routing::statement_run run, bool reads_only,
              std::unique_ptr<statement_transaction>& transaction) = 0;
};

} // namespace oriole::entry
