#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "machines/types/log_position.h"
#include "machines/types/server_role.h"

#include <chrono>
#include <cstdint>

namespace oriole::machines {

/// Latest state that a backend server reported, and when this instance received the report.
struct server_report {
    server_name server;
    std::uint64_t term = 0; ///< highest term the server has accepted
    server_role role = server_role::replica;
    log_position held;    ///< position of the last entry in the server's log
    log_position applied; ///< position of the last entry visible to reads
    /// Upper bound of the age of the server's data when it answered; the maximum if unknown.
    std::chrono::milliseconds age = std::chrono::milliseconds::max();
    clock::time_point received_at; ///< time of receipt by this instance's clock

    friend bool operator==(const server_report&, const server_report&) = default;
};

} // namespace oriole::machines
