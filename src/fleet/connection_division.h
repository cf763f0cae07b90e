#pragma once

#include "base/types/name.h"
#include "fleet/types/listed_instance.h"
#include "fleet/types/listed_server.h"

#include <vector>

namespace oriole::fleet {

/// How many connections instance `own` may hold to a server that takes `max_connections` from all
/// instances together. The parts of all instances add up to at most that number whenever they see
/// the same instances. Everyone writes, so a primary is divided evenly; reads stay in their zone,
/// so a replica goes mostly to the instances of its zone. Thread-safe.
[[nodiscard]] int connections_for(const listed_instance& own,
                                  const std::vector<listed_instance>& instances,
                                  const listed_server& server, bool primary, int max_connections);

} // namespace oriole::fleet
