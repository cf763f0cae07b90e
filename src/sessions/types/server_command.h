#pragma once

#include "machines/types/log_position.h"
#include "sessions/types/answer_code.h"
#include "sessions/types/prepared_statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriole::sessions {

/// The kind of a message to a backend server.
enum class command_kind {
    reset, ///< drops the connection's session values and prepared statements
    set_value,
    prepare,
    begin,
    begin_read,
    rollback,
    caller_statement, ///< a caller's statement, with text and id as the caller sent them
    execute,          ///< a caller's execute, with the name that the statement has at the server
    status,           ///< queries the server's role, term and log position
    step_down,        ///< makes a primary give up its role before a planned change
    pause_receiving,  ///< stops a replica from receiving until a promotion or resume_receiving
    resume_receiving
};

/// One message to a backend server.
struct server_command {
    command_kind kind = command_kind::caller_statement;
    std::string id;           ///< statement id of the caller; empty for the instance's own commands
    std::string name;         ///< name of the session value or the prepared statement
    std::string text;         ///< the session value, or the caller's statement text or argument
    prepared_statement shape; ///< the statement that a prepare command prepares
    std::optional<machines::log_position> after; ///< log position that the server must have reached
    /// For step_down and pause_receiving: term in which another server will be primary.
    std::uint64_t term = 0;
    bool changes_data = false;     ///< a caller's write or commit
    bool ends_transaction = false; ///< a caller's commit

    friend bool operator==(const server_command&, const server_command&) = default;
};

/// Whether a session or server connection is in a transaction. In a failed one, only commit and
/// rollback are allowed.
enum class transaction_state { none, open, failed };

/// A server's answer to a status, step_down, pause_receiving or resume_receiving command.
struct server_status {
    bool primary = false;
    std::uint64_t term = 0;
    machines::log_position received; ///< end of the log that the server has received

    friend bool operator==(const server_status&, const server_status&) = default;
};

/// A server's complete answer to one command.
struct server_answer {
    answer_code code = answer_code::ok;
    std::vector<std::string> rows;
    std::string signature; ///< server's signature for a statement that ran, or an error text
    transaction_state state = transaction_state::none;
    std::optional<machines::log_position> position; ///< log position that the server's data reflect
    std::optional<server_status> status;            ///< set in answers that are a server_status

    friend bool operator==(const server_answer&, const server_answer&) = default;
};

} // namespace oriole::sessions
