#pragma once

#include <utility>

#include "routing/server_pool.h"
#include "sessions/types/server_command.h"
#include "sessions/types/session_values.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace oriole::routing {

/// How far a client's statement got at a server.
enum class exchange_status {
    answered, ///< the server has answered the statement
    not_run,  ///< not sent, or the server refused a command that had to precede the statement
    connection_lost, ///< the connection broke after the statement was sent
    timed_out ///< the server did not answer within the time limit after the statement was sent
};

struct exchange_result {
    exchange_status status = exchange_status::not_run;
    sessions::server_answer answer; ///< answer to the statement, or to the command that was refused
    clock::time_point asked{};      ///< boot clock's time before anything was sent
    clock::time_point statement_sent{}; ///< boot clock's time at which the statement was sent
    int answers_due = 0; ///< answers that the server has yet to send on the connection

    friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

/// Returns whether the server began to run the statement, as far as this can be known: without an
/// answer it is taken to have begun.
[[nodiscard]] bool began_to_run(const exchange_result& result);

/// A client's statement and the commands that are sent before and after it.
struct exchange_plan {
    sessions::session_values values;
    std::optional<sessions::prepared_statement> shape;
    /// Begin of a transaction, sent before the statement.
    std::optional<sessions::server_command> transaction_begin;
    sessions::server_command statement;
    bool await_transaction_begin = false; ///< send the statement only after the begin was accepted
    bool writes = false;                  ///< the statement may change data
    bool rolls_back = false; ///< send a rollback after the statement, without receiving its answer

    friend bool operator==(const exchange_plan&, const exchange_plan&) = default;
};

/// Sets the session's values on the connection, then runs the statement on it. Everything is sent
/// in one write, unless the plan waits for the transaction's begin. Updates the connection's
/// session state with the values that the server acknowledged.
[[nodiscard]] boost::asio::awaitable<exchange_result> exchange(server_pool& pool,
                                                               pooled_connection& connection,
                                                               exchange_plan plan,
                                                               clock::duration limit);

} // namespace oriole::routing
