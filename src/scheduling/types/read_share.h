#pragma once

#include "base/types/name.h"

#include <cstdint>

namespace oriole::scheduling {

/// Reads that one server received from this gateway.
struct read_share {
    server_name server;
    std::int64_t reads = 0;
    bool ejected = false;

    friend bool operator==(const read_share&, const read_share&) = default;
};

} // namespace oriole::scheduling
