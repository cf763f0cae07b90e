#pragma once

#include "base/types/name.h"

#include <chrono>

namespace oriole::machines {

/// What an instance knows about a server apart from the server's reports: its zone, whether
/// operators have it in service, and the load on this instance's own connections to it.
struct server_condition {
    zone_name zone;
    bool in_service = true;    ///< the server and its zone are both in service
    bool circuit_open = false; ///< this instance's circuit breaker refuses requests
    /// Requests queued and in flight, divided by the concurrency limit; above 1, requests queue.
    double load = 0.0;
    std::chrono::microseconds latency{0}; ///< smoothed response time; 0 before one is measured

    friend bool operator==(const server_condition&, const server_condition&) = default;
};

} // namespace oriole::machines
