#pragma once

#include "base/clock.h"

namespace oriole::scheduling {

/// How well a server suits a read apart from its load, best first.
enum class read_suitability {
    due_for_probe, ///< ejected, and a read has to show whether it has recovered
    ready,
    no_connection, ///< the read would wait for a connection
    ejected,       ///< answers, but fails too much of its work
    lagging,       ///< lacked the required log position a moment ago
    failing        ///< silent or unreachable
};

/// A server that may run a read.
struct read_candidate {
    read_suitability suitability = read_suitability::ready;
    clock::duration response{}; ///< predicted time from sending the read to its answer
    double refused_share = 0;   ///< share of recent statements that the server refused as busy
    bool in_own_zone = true;
    bool primary = false; ///< also runs the writes of all zones

    friend bool operator==(const read_candidate&, const read_candidate&) = default;
};

} // namespace oriole::scheduling
