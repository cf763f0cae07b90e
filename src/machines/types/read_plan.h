#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "machines/types/log_position.h"
#include "machines/types/server_condition.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriole::machines {

/// Consistency requirements that the answering server must meet for a read.
struct read_requirement {
    std::optional<log_position> position; ///< confirmed entry that the server must have applied
    std::optional<std::chrono::milliseconds> max_age; ///< how old the server's data may be

    friend bool operator==(const read_requirement&, const read_requirement&) = default;
};

/// Input for ranking the servers for one read. `servers` has all servers of the database.
struct read_query {
    read_requirement requirement;
    zone_name own_zone;
    std::map<server_name, server_condition> servers;
    clock::time_point now;
    std::uint64_t tie_break_seed = 0; ///< differs per request to balance equal servers

    friend bool operator==(const read_query&, const read_query&) = default;
};

/// How suitable a server is for a read, best first.
enum class read_suitability {
    ready,      ///< a replica that should have applied the required entry by now
    short_wait, ///< a replica that should apply the entry and answer sooner than the primary
    primary,
    behind,       ///< a replica that should apply the entry later, or is overloaded
    stale_report, ///< the server has not reported recently
    too_old,      ///< the data was older than `max_age` in the last report
    circuit_open  ///< this instance's recent requests to the server have failed
};

struct read_candidate {
    server_name server;
    read_suitability suitability = read_suitability::ready;
    /// Delay before the read is sent, limited by the selector's settings.
    std::chrono::milliseconds wait{0};

    friend bool operator==(const read_candidate&, const read_candidate&) = default;
};

/// Servers to try, in this order. Servers that are out of service are left out.
using read_plan = std::vector<read_candidate>;

} // namespace oriole::machines
