#pragma once

#include <string_view>

namespace oriole::sessions {

/// The result of a statement, determined by a backend server or by this instance.
enum class answer_code {
    ok,
    busy,      ///< no capacity; the statement was not run
    aborted,   ///< the transaction was rolled back; none of its changes are kept
    lagging,   ///< the server has not reached the required log position; the statement was not run
    read_only, ///< the server is not the primary; the statement was not run
    wrong_server,     ///< another server answers at that address; the statement was not run
    connection_limit, ///< the server accepts no more connections; the statement was not run
    in_doubt,         ///< a commit or write was sent, but its result is unknown
    timed_out,        ///< no result within the route's timeout; the statement may have run
    failed,           ///< the server ran the statement and it failed
    unknown_name,     ///< no prepared statement has that name
    denied,           ///< the caller's API key is unknown
    no_database,      ///< no route exists for the database name
    too_big,          ///< the message exceeds the maximum length
    malformed         ///< not a valid statement, or not allowed in the session's current state
};

/// Whether the code guarantees the caller that no change of the attempt was kept.
[[nodiscard]] constexpr bool guarantees_no_changes(answer_code code) noexcept {
    switch (code) {
    case answer_code::busy:
    case answer_code::aborted:
    case answer_code::lagging:
    case answer_code::read_only:
    case answer_code::wrong_server:
    case answer_code::connection_limit:
        return true;
    default:
        return false;
    }
}

[[nodiscard]] std::string_view to_string(answer_code code) noexcept;

} // namespace oriole::sessions
