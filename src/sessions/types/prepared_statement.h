#pragma once

#include <compare>
#include <string>

namespace oriole::sessions {

/// A statement prepared by a session. Sessions that prepare the same statement under different
/// names share one prepared statement on a server connection.
struct prepared_statement {
    std::string shape; ///< word that identifies the statement without its argument
    bool writes = false;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

} // namespace oriole::sessions
