#pragma once

#include "base/types/name.h"
#include "fleet/types/primary_evidence.h"
#include "sessions/position_proofs.h"

namespace oriole::routing {

/// What the traffic thread has observed about one service.
struct service_report {
    /// Evidence about the server that the traffic thread treats as the primary.
    fleet::primary_evidence evidence;
    server_name proven_server; ///< server that gave the newest position proof
    sessions::position_proof proof;

    friend bool operator==(const service_report&, const service_report&) = default;
};

} // namespace oriole::routing
