#pragma once

#include "base/clock.h"

namespace oriole::entry {

/// Spreads the ends of an instance's watches of the store: as long as the store answers, one of
/// them ends in each interval. Nothing tells a silent connection from a store without changes but
/// the end of a wait, and what silences one connection may have silenced the others. Thread-safe.
class watch_schedule {
public:
    /// Preconditions: `interval` is positive, and `watches`, the number of watches, too.
    watch_schedule(clock::duration interval, int watches, clock::time_point start)
        : m_interval(interval), m_watches(watches), m_start(start) {}

    /// How long a watch has to wait that starts now. `watch` counts from 0.
    [[nodiscard]] clock::duration wait(int watch, clock::time_point now) const;

private:
    clock::duration m_interval;
    int m_watches;
    clock::time_point m_start;
};

} // namespace oriole::entry
