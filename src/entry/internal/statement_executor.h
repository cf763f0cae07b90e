#pragma once

#include "entry/internal/statement_runner.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace oriole::entry {

/// A caller's open transaction. Not thread-safe; used on the traffic thread.
class statement_transaction {
public:
    virtual ~statement_transaction() = default;

    /// Runs a further statement, or the commit. After an outcome with `transaction_over` the
    /// transaction is gone.
    [[nodiscard]] virtual boost::asio::awaitable<run_outcome> run_next(statement_run run) = 0;

    /// Rolls back without waiting for it. Precondition: no statement is running.
    virtual void roll_back() = 0;

    /// Whether a statement of it may have changed data.
    [[nodiscard]] virtual bool wrote() const = 0;

    [[nodiscard]] virtual server_name server() const = 0;
};

/// Runs the statements of one service. Not thread-safe; used on the traffic thread.
class statement_executor {
public:
    virtual ~statement_executor() = default;

    /// Runs a statement outside any transaction.
    [[nodiscard]] virtual boost::asio::awaitable<run_outcome> run_alone(statement_run run) = 0;

    /// Runs the first statement of a transaction and fills `transaction`, unless it fails.
    [[nodiscard]] virtual boost::asio::awaitable<run_outcome>
    run_first(statement_run run, bool reads_only,
              std::unique_ptr<statement_transaction>& transaction) = 0;
};

} // namespace oriole::entry
