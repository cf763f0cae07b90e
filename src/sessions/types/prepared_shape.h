#pragma once

#include <compare>
#include <string>

namespace oriole::sessions {

/// What a prepared statement runs. Sessions that prepare the same shape under different names share
/// it on a server's connection.
struct prepared_shape {
    std::string shape;
    bool writes = false;

    friend auto operator<=>(const prepared_shape&, const prepared_shape&) = default;
};

} // namespace oriole::sessions
