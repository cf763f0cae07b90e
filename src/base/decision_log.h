#pragma once

#include "base/types/log_entry.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace oriole {

/// Structured lines on standard output: one for each decision that touches a request or changes
/// what the process believes. Thread-safe. Lines are buffered up to a fixed size; what does not fit
/// is dropped and counted, and writing never blocks.
class decision_log {
public:
    virtual ~decision_log() = default;

    virtual void write(const log_entry& entry) = 0;

    /// Hands the buffered lines to standard output, as far as it takes them without blocking.
    virtual void flush() = 0;

    /// Lines that were dropped since the start.
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

/// Writes to the file descriptor, which becomes non-blocking. Precondition: it stays open.
[[nodiscard]] std::unique_ptr<decision_log> make_decision_log(int descriptor);

} // namespace oriole
