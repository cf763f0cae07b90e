#pragma once

#include "base/clock.h"

#include <memory>

namespace oriole::machines {

/// Limits the load on a backend server that has just become available again, while its caches are
/// cold. Not thread-safe.
class slow_start {
public:
    virtual ~slow_start() = default;

    /// Starts to limit the load. Called when the server has become available again.
    virtual void begin(clock::time_point now) = 0;

    /// Fraction of the normal load that the server may get: above 0 and at most 1.
    [[nodiscard]] virtual double factor(clock::time_point now) const = 0;
};

/// Raises the permitted fraction of the load linearly from a tenth to 1 over two seconds.
[[nodiscard]] std::unique_ptr<slow_start> make_linear_slow_start();

} // namespace oriole::machines
