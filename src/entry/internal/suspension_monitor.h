#pragma once

#include "base/clock.h"

#include <optional>

namespace oriole::entry {

/// Notices that the thread did not run for a while, because its process or machine was suspended.
/// Messages that arrived meanwhile wait in their sockets and seem to be new when they are read. All
/// times are of the boot clock, which also counts time in suspension. Not thread-safe.
class suspension_monitor {
public:
    /// The thread calls record_turn() at least this often while it runs.
    static constexpr clock::duration turn_interval = std::chrono::milliseconds(100);

    void record_turn(clock::time_point now);

    /// How long a message that is read at `now` may have waited unread.
    [[nodiscard]] clock::duration unread_time(clock::time_point now) const;

private:
    [[nodiscard]] clock::duration gap_until(clock::time_point now) const;

    std::optional<clock::time_point> m_last_turn;
    clock::time_point m_resumed_at{};
    clock::duration m_suspended_for{};
};

} // namespace oriole::entry
