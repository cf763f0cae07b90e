#pragma once

#include "base/clock.h"
#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <optional>

namespace oriole::entry {

/// Settings of one instance. The platform's addresses are not included; they belong to the platform
/// adapter.
struct entry_settings {
    instance_id instance;
    zone_name zone;
    endpoint callers;   ///< listens here for connections of clients
    endpoint admin;     ///< serves readiness and metrics over HTTP
    endpoint peers;     ///< listens here for reports of other instances
    endpoint gateway;   ///< listens here for statements that other instances forward
    int capacity = 100; ///< the instance's share of a processor core, in hundredths
    /// From SIGTERM until open sessions are closed by force.
    clock::duration stop_grace = std::chrono::seconds(6);

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

} // namespace oriole::entry
