#pragma once

#include "fleet/types/listed_instance.h"
#include "fleet/types/listed_server.h"

#include <vector>

namespace oriole::fleet {

/// How many connections to a server one instance may hold.
struct connection_allotment {
    int as_gateway = 1; ///< while the statements of its zone go through it
    int alone = 1;      ///< while it serves only its own callers, since it reaches no gateway

    friend bool operator==(const connection_allotment&, const connection_allotment&) = default;
};

/// Divides what a server takes from all instances together, `max_connections`, over the zones. The
/// parts of the zones' gateways add up to at most that number whenever they see the same instances.
/// Everyone writes, so a primary is divided evenly; reads stay in their zone, so a replica goes
/// mostly to its own zone. Thread-safe.
[[nodiscard]] connection_allotment connections_for(const listed_instance& own,
                                                   const std::vector<listed_instance>& instances,
                                                   const listed_server& server, bool primary,
                                                   int max_connections);

} // namespace oriole::fleet
