#pragma once

namespace oriole::fleet {

/// Which commits the reads of a route are guaranteed to see.
enum class read_policy {
    newest,      ///< every acknowledged commit
    bounded_age, ///< every commit that was acknowledged longer ago than the route's maximum age
    own_writes   ///< as bounded_age, and in addition every commit of the same session
};

} // namespace oriole::fleet
