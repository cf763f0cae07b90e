#pragma once

#include "base/types/name.h"
#include "fleet/types/primary_evidence.h"
#include "sessions/position_proofs.h"

#include <map>

namespace oriole::entry {

/// What the traffic thread saw of one service.
struct service_report {
    fleet::primary_evidence evidence; ///< of the server that it takes for the primary
    server_name proved;               ///< the server of the newest proof
    sessions::position_proof proof;

    friend bool operator==(const service_report&, const service_report&) = default;
};

/// What the traffic thread tells the control thread from time to time.
struct traffic_report {
    std::map<service_name, service_report> services;

    friend bool operator==(const traffic_report&, const traffic_report&) = default;
};

} // namespace oriole::entry
