#include "scheduling/server_load.h"

#include <algorithm>
#include <cmath>

namespace oriole::scheduling {
namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Time after which the usual time has followed a lasting change for the most part.
constexpr seconds usual_time_window{30};
/// The first samples are averaged evenly.
constexpr int even_samples = 20;
/// Kinds without a statement for this long are forgotten; routes come and go.
constexpr clock::duration kind_lifetime = std::chrono::minutes(5);

/// Weight of one answer. Ten answers outweigh single long statements.
constexpr double answer_weight = 0.1;
/// Estimates without new answers lose half of their weight in this time.
constexpr seconds estimate_half_life = milliseconds(500);

} // namespace

void usual_times::record(const std::string& kind, clock::duration elapsed, clock::time_point now) {
    if (!m_estimates.contains(kind)) {
        std::erase_if(m_estimates, [now](const auto& known) {
            return now - known.second.updated > kind_lifetime;
        });
    }
    auto& known = m_estimates[kind];
    known.samples = std::min(known.samples + 1, even_samples);
    const double weight = known.samples < even_samples
                              ? 1.0 / known.samples
                              : std::min(seconds(now - known.updated) / usual_time_window, 1.0);
    known.seconds += weight * (seconds(elapsed).count() - known.seconds);
    known.updated = now;
}

clock::duration usual_times::of(const std::string& kind) const {
    const auto known = m_estimates.find(kind);
    return known == m_estimates.end()
               ? clock::duration::zero()
               : std::chrono::duration_cast<clock::duration>(seconds(known->second.seconds));
}

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
