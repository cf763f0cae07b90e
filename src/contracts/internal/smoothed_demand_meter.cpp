#include "contracts/internal/smoothed_demand_meter.h"

#include <algorithm>
#include <cmath>

namespace oriole::contracts {
namespace {

constexpr std::chrono::duration<double> rise_time(1.0);
constexpr std::chrono::duration<double> fall_time(3.0);

/// Headroom relative to the measured demand, which fluctuates within this fraction of its mean
/// while the arrival rate is constant.
constexpr double relative_headroom = 0.12;

/// Headroom in standard deviations. Random arrivals with a mean of m per second have a standard
/// deviation of sqrt(m); the rate's burst covers most of it.
constexpr double headroom_deviations = 0.5;

/// The reported need changes only when the measured need leaves the range between these multiples
/// of it, so that random variation does not move loans.
constexpr double min_rise_factor = 1.05;
constexpr double max_fall_factor = 0.8;

[[nodiscard]] double with_headroom(double per_second) {
    return per_second * (1 + relative_headroom) + headroom_deviations * std::sqrt(per_second);
}

} // namespace

void smoothed_demand_meter::add(const account_name& account, double weight) {
    m_demands[account].interval_weight += weight;
}

void smoothed_demand_meter::advance(clock::time_point now) {
    if (!m_last) {
        m_last = now;
    }
    const std::chrono::duration<double> elapsed = now - *m_last;
    if (elapsed.count() <= 0) {
        return;
    }
    m_last = now;
    for (auto& [account, value] : m_demands) {
        const double measured = std::exchange(value.interval_weight, 0) / elapsed.count();
        const auto time = measured > value.per_second ? rise_time : fall_time;
        value.per_second += (measured - value.per_second) * (1 - std::exp(-elapsed / time));
        value.recent_per_second +=
            (measured - value.recent_per_second) * (1 - std::exp(-elapsed / rise_time));
        const double needed = with_headroom(value.per_second);
        if (needed > value.needed * min_rise_factor || needed < value.needed * max_fall_factor) {
            value.needed = needed;
        }
    }
}

double smoothed_demand_meter::needed(const account_name& account) const {
    const auto found = m_demands.find(account);
    return found == m_demands.end() ? 0 : found->second.needed;
}

double smoothed_demand_meter::needed_recently(const account_name& account) const {
    const auto found = m_demands.find(account);
    return found == m_demands.end() ? 0 : with_headroom(found->second.recent_per_second);
}

share_parts to_parts(double needed_per_second, const rate& whole) {
    if (whole.per_second() <= 0) {
        return 0;
    }
    const double parts = needed_per_second / whole.per_second() * whole_share;
    return static_cast<share_parts>(std::ceil(std::min(parts, double{whole_share})));
}

} // namespace oriole::contracts
