#pragma once

#include "base/clock.h"

#include <cstddef>
#include <memory>

namespace oriole::machines {

/// Adapts the number of requests in flight at one backend server to their latency. Not thread-safe.
class concurrency_limiter {
public:
    virtual ~concurrency_limiter() = default;

    /// Most requests to have in flight; at least 1.
    [[nodiscard]] virtual std::size_t limit() const noexcept = 0;

    /// Records that a request was answered after `latency`; `in_flight` requests were outstanding
    /// when it was sent.
    virtual void answered(clock::duration latency, std::size_t in_flight,
                          clock::time_point now) = 0;

    /// Records that a request was not answered by its deadline.
    virtual void timed_out(clock::time_point now) = 0;

    /// Smoothed latency; 0 before the first answer.
    [[nodiscard]] virtual clock::duration latency() const noexcept = 0;
};

/// Compares the smoothed latency with the minimum latency. Raises the limit while the two are close
/// and at least half of the limit is in use. Lowers it in inverse proportion to the smoothed
/// latency when that is far above the minimum, and by a tenth after a timeout.
[[nodiscard]] std::unique_ptr<concurrency_limiter> make_gradient_concurrency_limiter();

} // namespace oriole::machines
