#include "entry/internal/suspension_monitor.h"

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// A shorter time between two turns is that of a busy thread.
constexpr clock::duration min_suspension = 250ms;
/// Time for a resumed thread to read what arrived during the suspension.
constexpr clock::duration catch_up_time = 200ms;

} // namespace

void suspension_monitor::record_turn(clock::time_point now) {
    const auto gap = gap_until(now);
    if (gap >= min_suspension) {
        m_resumed_at = now;
        m_suspended_for = gap;
    }
    m_last_turn = now;
}

clock::duration suspension_monitor::unread_time(clock::time_point now) const {
    const auto gap = gap_until(now);
    if (gap >= min_suspension) {
        return gap;
    }
    return now - m_resumed_at < catch_up_time ? m_suspended_for : clock::duration::zero();
}

clock::duration suspension_monitor::gap_until(clock::time_point now) const {
    return m_last_turn ? now - *m_last_turn : clock::duration::zero();
}

} // namespace oriole::entry
