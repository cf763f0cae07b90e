#pragma once

namespace oriole::fleet {

/// What the reads of a route have to see.
enum class read_policy {
    newest,      ///< every acknowledged commit
    bounded_age, ///< every commit acknowledged longer ago than the route's age
    own_writes   ///< as bounded_age, and every commit of the same session
};

} // namespace oriole::fleet
