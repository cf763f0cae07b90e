#include "entry/internal/advance_admissions.h"

#include <algorithm>
#include <utility>

namespace oriole::entry {
namespace {

/// Operations that a coordinator has admitted in advance expire after this time.
constexpr clock::duration prefetch_lifetime = std::chrono::milliseconds(100);
/// A refusal holds for this long. The rate that comes in meanwhile is not lost: the next call asks
/// for as many operations as began in a report interval.
constexpr clock::duration refusal_lifetime = std::chrono::milliseconds(50);

} // namespace

advance_admissions::decision advance_admissions::decide(clock::time_point now) {
    ++m_current_interval;
    if (m_remaining > 0 && m_expires_at > now) {
        --m_remaining;
        return decision::admitted;
    }
    return m_refused_until > now ? decision::refused : decision::unknown;
}

int advance_admissions::wanted() const {
    return std::clamp(m_previous_interval, 1, max_batch);
}

void advance_admissions::record_answer(int admitted, clock::time_point now) {
    if (admitted == 0) {
        m_refused_until = now + refusal_lifetime;
        return;
    }
    // Calls may overlap, so an earlier answer may not be used up yet.
    m_remaining = (m_expires_at > now ? m_remaining : 0) + admitted - 1;
    m_expires_at = now + prefetch_lifetime;
    m_refused_until = {};
}

void advance_admissions::end_interval() {
    m_previous_interval = std::exchange(m_current_interval, 0);
}

} // namespace oriole::entry
