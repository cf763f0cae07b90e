#pragma once

#include "base/clock.h"
#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <optional>

namespace oriole::entry {

/// Settings of one entry instance that decide how it acts. Addresses of the platform belong to its
/// adapter.
struct entry_settings {
    instance_id instance;
    zone_name zone;
    endpoint callers;   ///< where callers connect
    endpoint admin;     ///< readiness and metrics
    endpoint peers;     ///< where other instances report
    endpoint gateway;   ///< where other instances hand over statements
    int capacity = 100; ///< the instance's share of a processor core, in hundredths
    clock::duration stop_grace = std::chrono::seconds(6); ///< from SIGTERM to the forced end

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

} // namespace oriole::entry
