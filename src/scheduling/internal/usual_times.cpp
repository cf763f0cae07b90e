#include "scheduling/usual_times.h"

#include <algorithm>

namespace oriole::scheduling {
namespace {

using seconds = std::chrono::duration<double>;

/// Time after which the usual time has followed a lasting change for the most part.
constexpr seconds usual_time_window{30};
/// The first samples are averaged evenly.
constexpr int even_samples = 20;
/// Kinds without a statement for this long are forgotten; routes come and go.
constexpr clock::duration kind_lifetime = std::chrono::minutes(5);

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

} // namespace oriole::scheduling
