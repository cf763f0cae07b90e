#pragma once

#include "ctl/http_client.h"

#include <chrono>
#include <memory>
#include <string>

namespace oriole {
class clock;
class random_source;
} // namespace oriole

namespace oriole::ctl {

/// The system services that commands use: files, clocks, random numbers, HTTP and sleeping. Tests
/// replace them with a fake. Not thread-safe.
class environment {
public:
    virtual ~environment() = default;

    /// The whole content of a file. Throws oriole::error when it cannot be read.
    [[nodiscard]] virtual std::string read_file(const std::string& path) = 0;

    [[nodiscard]] virtual const clock& monotonic_clock() const = 0;

    [[nodiscard]] virtual random_source& random() = 0;

    /// The current date and time in UTC, as in "2026-03-01T08:30:00Z". Used only in audit
    /// entries and in the metadata of a configuration generation; no decision depends on it.
    [[nodiscard]] virtual std::string utc_time() const = 0;

    [[nodiscard]] virtual http_client& http() = 0;

    /// Blocks the calling thread.
    virtual void sleep_for(std::chrono::milliseconds duration) = 0;
};

[[nodiscard]] std::unique_ptr<environment> make_system_environment();

} // namespace oriole::ctl
