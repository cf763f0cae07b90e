#pragma once

#include "base/types/name.h"

namespace oriole::scheduling {

/// What a gateway knows of a server that may run a read, apart from its answers.
struct reader {
    server_name server;
    bool in_own_zone = true;
    bool primary = false;
    int slots = 0;          ///< statements that the server executes at a time; 0 when unknown
    int running = 0;        ///< statements of this gateway that run or wait at or for the server
    bool connected = false; ///< a connection is idle that the read may use
    bool connection_available = true; ///< one is idle or may be opened
    bool lagging = false;             ///< lacked the required log position a moment ago
    bool failing = false;             ///< silent or unreachable

    friend bool operator==(const reader&, const reader&) = default;
};

} // namespace oriole::scheduling
