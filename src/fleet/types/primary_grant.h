#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <cstdint>

namespace oriole::fleet {

/// The permission to use a server as the primary of a service for a limited time.
struct primary_grant {
    server_name server; ///< target of the newest promotion order; empty when no order is known
    std::uint64_t order_fence = 0;  ///< fencing token of that order; 0 when none is known
    clock::time_point expires_at{}; ///< boot clock

    /// Whether `primary`, which is believed to be the primary, may be used at `now` (boot clock).
    [[nodiscard]] bool covers(const server_name& primary, clock::time_point now) const {
        return now < expires_at && (server.empty() || server == primary);
    }

    friend bool operator==(const primary_grant&, const primary_grant&) = default;
};

} // namespace oriole::fleet
