#include "entry/internal/watch_schedule.h"

#include <algorithm>

namespace oriole::entry {
namespace {

/// A watch that waits for less would cost a call for next to nothing.
constexpr clock::duration min_wait = std::chrono::milliseconds(50);

} // namespace

clock::duration watch_schedule::wait(int watch, clock::time_point now) const {
    const auto period = m_interval * m_watches;
    const auto in_period = (now - m_start + period - m_interval * watch) % period;
    return std::max(period - in_period, min_wait);
}

} // namespace oriole::entry
