#pragma once

#include "base/clock.h"

#include <cstddef>
#include <memory>

namespace oriole::scheduling {

/// Limits the statements that this instance has running at one server, which other instances use as
/// well. Not thread-safe.
class slot_limit {
public:
    virtual ~slot_limit() = default;

    /// Most statements to have running; at least 1.
    [[nodiscard]] virtual std::size_t limit() const noexcept = 0;

    /// Sets the number of statements that the server executes at a time. Precondition: `slots` is
    /// positive.
    virtual void set_slots(int slots) = 0;

    /// Records that a statement was executed; `running` statements were running, including it.
    virtual void answered(std::size_t running) = 0;

    /// Records that the server refused a statement because it had too much work.
    virtual void refused(std::size_t running, clock::time_point now) = 0;

    /// Records that statements take much longer than they do without load.
    virtual void slowed(clock::time_point now) = 0;
};

/// Raises the limit additively while it is in use and lowers it multiplicatively, so that instances
/// that share a server without exchanging messages converge to similar parts of it.
[[nodiscard]] std::unique_ptr<slot_limit> make_adaptive_slot_limit(int slots);

} // namespace oriole::scheduling
