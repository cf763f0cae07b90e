#pragma once

#include <string>

namespace oriole::sessions {

/// The kind of a caller's statement.
enum class statement_kind {
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    close_prepared,
    malformed
};

/// One statement of a caller. `text` is sent to a server exactly as the caller sent it.
struct statement {
    std::string id;
    std::string text;
    statement_kind kind = statement_kind::malformed;
    std::string name;     ///< name of the session value or the prepared statement
    std::string argument; ///< the value to set, or the text after the name in an execute
    std::string shape;    ///< identifies the statement to prepare, without its argument
    bool writes = false;  ///< whether the statement is a write or prepares one

    friend bool operator==(const statement&, const statement&) = default;
};

} // namespace oriole::sessions
