#pragma once

#include "fleet/types/registered_instance.h"
#include "fleet/types/registered_server.h"

#include <vector>

namespace oriole::fleet {

/// The maximum numbers of connections that one instance may hold to one backend server.
struct connection_quota {
    /// Limit while the instance is a gateway and runs statements for its whole zone.
    int as_gateway = 1;
    /// Limit while the instance reaches no gateway and runs only its own callers' statements.
    int isolated = 1;

    friend bool operator==(const connection_quota&, const connection_quota&) = default;
};

/// Computes the connection quota of `own` for `server`. `max_connections` is the server's limit for
/// all instances together. The quotas of one gateway per zone add up to at most this limit,
/// provided that all gateways see the same list of instances. All zones write, so the connections
/// of a primary are divided evenly among zones. Reads stay in their zone, so most connections of a
/// replica go to the replica's own zone. Thread-safe.
[[nodiscard]] connection_quota
connection_quota_for(const registered_instance& own,
                     const std::vector<registered_instance>& instances,
                     const registered_server& server, bool primary, int max_connections);

} // namespace oriole::fleet
