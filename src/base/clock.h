#pragma once

#include <chrono>

namespace oriole {

/// A monotonic clock. Code takes the time as an argument or reads it through this interface, so
/// that tests can control it.
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

/// Time since the machine booted, including time in suspend, which the steady clock does not count.
/// Used for ages that are compared with those measured on other machines. Its time points must not
/// be compared with those of the steady clock. Thread-safe; lives as long as the process.
[[nodiscard]] const clock& boot_clock();

} // namespace oriole
