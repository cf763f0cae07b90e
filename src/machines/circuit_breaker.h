#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <memory>

namespace oriole::machines {

/// Stops the requests to a backend server that fails repeatedly, until a probe succeeds. Not
/// thread-safe.
class circuit_breaker {
public:
    virtual ~circuit_breaker() = default;

    /// While open, only probes may be sent to the server.
    [[nodiscard]] virtual bool open() const noexcept = 0;

    /// Whether the caller must send a probe now. True once per back-off period while open. The
    /// caller reports the probe's result by succeeded() or failed().
    [[nodiscard]] virtual bool take_probe(clock::time_point now) = 0;

    virtual void succeeded() = 0;

    virtual void failed(clock::time_point now) = 0;
};

struct circuit_breaker_settings {
    /// Consecutive failures that open the breaker. A single failure is often due to one connection.
    int failures_to_open = 3;
    /// Consecutive good probes that close the breaker. They may follow each other at once.
    int probes_to_close = 1;
    /// Short, because a change of primary must complete within 1.5 s.
    std::chrono::milliseconds initial_backoff{50};
    std::chrono::milliseconds max_backoff{2000};

    friend bool operator==(const circuit_breaker_settings&,
                           const circuit_breaker_settings&) = default;
};

/// Opens after consecutive failures. The back-off doubles with each failed probe and is jittered,
/// so that the instances do not all probe a recovering server at the same time. Precondition:
/// `random` outlives the breaker.
[[nodiscard]] std::unique_ptr<circuit_breaker>
make_circuit_breaker(random_source& random, circuit_breaker_settings settings = {});

} // namespace oriole::machines
