#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "scheduling/server_health.h"
#include "scheduling/types/server_work.h"

#include <cstdint>
#include <string>

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

/// What a read needs.
struct read_request {
    std::string kind; ///< reads of one kind take similar times; the name of the route's database
    clock::duration latency_target{};

    friend bool operator==(const read_request&, const read_request&) = default;
};

/// How a read ended at a server.
struct read_result {
    std::string kind;
    attempt_result result = attempt_result::served;
    /// Time from sending the read to its answer; 0 when it is not comparable with that of others.
    clock::duration elapsed{};
    reader at; ///< the server, as known when the read ended

    friend bool operator==(const read_result&, const read_result&) = default;
};

/// A server was ejected or taken back.
struct health_change {
    server_name server;
    bool ejected = false;
    ejection_reason reason = ejection_reason::none; ///< of the ejection

    friend bool operator==(const health_change&, const health_change&) = default;
};

/// Reads that one server received from this gateway.
struct read_share {
    server_name server;
    std::int64_t reads = 0;
    bool ejected = false;

    friend bool operator==(const read_share&, const read_share&) = default;
};

} // namespace oriole::scheduling
