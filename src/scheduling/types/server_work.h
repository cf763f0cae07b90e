#pragma once

#include "base/clock.h"

namespace oriole::scheduling {

/// The work that an instance has at one server, and what the next statement is expected to take.
struct server_work {
    int running = 0; ///< statements of this instance that run or wait at or for the server
    int slots = 0;   ///< execution slots that this instance may count on; 0 when unknown
    clock::duration expected{}; ///< usual time of the next statement; 0 when unknown

    friend bool operator==(const server_work&, const server_work&) = default;
};

} // namespace oriole::scheduling
