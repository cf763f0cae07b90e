#include "scheduling/server_load.h"

#include <algorithm>
#include <cmath>

namespace oriole::scheduling {
namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Weight of one answer. Ten answers outweigh single long statements.
constexpr double answer_weight = 0.1;
/// Estimates without new answers lose half of their weight in this time.
constexpr seconds estimate_half_life = milliseconds(500);

} // namespace

void server_load::record_served(clock::duration elapsed, clock::duration expected,
                                clock::time_point now) {
    renew(now);
    m_refused_share -= answer_weight * m_refused_share;
    if (expected > clock::duration::zero()) {
        m_slowness += answer_weight * (seconds(elapsed) / seconds(expected) - m_slowness);
    }
}

void server_load::record_refused(clock::time_point now) {
    renew(now);
    m_refused_share += answer_weight * (1 - m_refused_share);
}

double server_load::slowness(clock::time_point now) const {
    return 1 + (m_slowness - 1) * freshness(now);
}

double server_load::refused_share(clock::time_point now) const {
    return m_refused_share * freshness(now);
}

clock::duration server_load::predicted_response(const server_work& work,
                                                clock::time_point now) const {
    double factor = slowness(now);
    if (work.slots > 0) {
        const double queued = std::max(work.running + 1 - work.slots, 0);
        factor = std::max(factor, 1 + queued / work.slots);
    }
    return std::chrono::duration_cast<clock::duration>(factor * seconds(work.expected));
}

double server_load::freshness(clock::time_point now) const {
    return m_updated ? std::exp2(-(seconds(now - *m_updated) / estimate_half_life)) : 0.0;
}

void server_load::renew(clock::time_point now) {
    m_slowness = slowness(now);
    m_refused_share = refused_share(now);
    m_updated = now;
}

} // namespace oriole::scheduling
