#pragma once

#include "base/clock.h"
#include "base/types/endpoint.h"
#include "base/types/name.h"
#include "machines/types/process_limits.h"
#include "usage/types/usage_settings.h"

#include <optional>
#include <vector>

namespace oriole::entry {

/// Settings of one instance. The platform's addresses are not included; they belong to the platform
/// adapter.
struct entry_settings {
    instance_id instance;
    zone_name zone;
    endpoint callers; ///< address on which client connections are accepted
    endpoint admin;   ///< address on which readiness and metrics are served over HTTP
    endpoint peers;   ///< address on which reports of other instances are accepted
    endpoint gateway; ///< address on which forwarded statements of other instances are accepted
    std::vector<zone_name> zones; ///< all availability zones of the deployment
    /// Whether the platform refuses a promotion with an outdated fencing token and a promotion ends
    /// the previous primary's lead at once. Otherwise the instances use leases on the primaries.
    bool fenced_promotions = true;
    int capacity = 100; ///< the instance's share of a processor core, in hundredths
    /// Time from SIGTERM until the sessions that are still open are closed by force.
    clock::duration stop_grace = std::chrono::seconds(6);
    /// nullopt when the deployment requires no usage reports.
    std::optional<usage::usage_settings> usage;
    machines::process_limits limits;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

} // namespace oriole::entry
