#pragma once

#include <string>

namespace oriole::sessions {

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

/// One statement of a caller. `text` is what the caller sent and goes to a server unchanged.
struct statement {
    std::string id;
    std::string text;
    statement_kind kind = statement_kind::malformed;
    std::string name;     ///< of the session value or the prepared statement
    std::string argument; ///< the value to set, or what follows the name of an execute
    std::string shape;    ///< of a statement to prepare
    bool writes = false;  ///< of a write, and of a prepared write

    friend bool operator==(const statement&, const statement&) = default;
};

} // namespace oriole::sessions
