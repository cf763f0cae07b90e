#pragma once

#include <chrono>

namespace oriole {

/// Monotonic time. Decisions take it as an argument or through this interface, so that tests
/// control it.
class clock {
public:
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

    virtual ~clock() = default;

    /// Thread-safe. Never goes backwards.
    [[nodiscard]] virtual time_point now() const = 0;
};

/// The machine's monotonic clock. Thread-safe; lives as long as the process.
[[nodiscard]] const clock& steady_clock();

/// Time since the machine booted, including the time it was suspended, which the steady clock
/// leaves out. For ages that others measure on clocks that kept running. Its time points do not
/// compare with the steady clock's. Thread-safe; lives as long as the process.
[[nodiscard]] const clock& boot_clock();

} // namespace oriole
