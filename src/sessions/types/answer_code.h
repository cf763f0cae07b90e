#pragma once

#include <string_view>

namespace oriole::sessions {

/// How a statement ended, at a backend server or at this instance.
enum class answer_code {
    ok,
    busy,             ///< no capacity; not run
    aborted,          ///< the transaction was rolled back; nothing is kept
    lagging,          ///< the server lacks the required log position; not run
    read_only,        ///< the server is not the primary; not run
    wrong_server,     ///< another server answers at that address; not run
    connection_limit, ///< the server takes no more connections; not run
    in_doubt,         ///< a commit or write was sent and its result is unknown
    timed_out,        ///< no result within the route's timeout; it may have run
    failed,           ///< the server ran the statement and it failed
    unknown_name,     ///< no prepared statement has that name
    denied,           ///< the key is not known
    no_database,      ///< no route has that name
    too_big,          ///< longer than the longest message
    malformed         ///< not a statement, or not one that is allowed in this state
};

/// Whether the code tells the caller that nothing of its attempt is kept.
[[nodiscard]] constexpr bool promises_nothing_kept(answer_code code) noexcept {
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
