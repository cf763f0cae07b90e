#pragma once

#include "base/types/log_entry.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace oriole {

/// Structured event log: one line for each decision that affects a request or changes the process's
/// state. Lines are buffered up to a fixed size. A line that does not fit is dropped and counted,
/// so that writing never blocks. Thread-safe.
class decision_log {
public:
    virtual ~decision_log() = default;

    virtual void write(const log_entry& entry) = 0;

    /// Writes as many buffered lines to the output as possible without blocking.
    virtual void flush() = 0;

    /// Number of lines dropped since the log was created.
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

/// Creates a log that writes to the file descriptor and makes it non-blocking. Precondition: the
/// descriptor stays open as long as the log exists.
[[nodiscard]] std::unique_ptr<decision_log> make_decision_log(int descriptor);

} // namespace oriole
