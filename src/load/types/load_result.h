#pragma once

#include "base/clock.h"
#include "load/types/recorded_history.h"

#include <cstddef>

namespace oriole::load {

/// The recorded requests of a run and the numbers of requests and rows that were not sent or read.
struct load_result {
    recorded_history history;
    clock::time_point started;
    std::size_t unsent = 0;      ///< scheduled, but no session became idle before the end
    std::size_t unread_rows = 0; ///< written rows that could not be read after the load

    friend bool operator==(const load_result&, const load_result&) = default;
};

} // namespace oriole::load
