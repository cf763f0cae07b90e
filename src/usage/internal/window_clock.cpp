#include "usage/window_clock.h"

#include <algorithm>

namespace oriole::usage {
namespace {

using namespace std::chrono_literals;

/// Longer round trips leave the peer's clock too uncertain.
constexpr clock::duration max_round_trip = 100ms;
/// A clock that was not heard of for this long no longer counts.
constexpr clock::duration sample_lifetime = 20s;
/// Clocks within this distance of the median agree with it.
constexpr clock::duration agreement = 150ms;
/// Number of clocks from which a majority can differ from the believed offset.
constexpr std::size_t min_clocks_for_change = 3;
/// How long a majority has to agree on another offset before it is believed.
constexpr clock::duration change_delay = 3s;
/// Rate at which the offset follows small deviations: 5 ms a second.
constexpr int slew_divisor = 200;

/// The median if more than half of the clocks agree with it.
std::optional<clock::duration> majority(const std::vector<clock::duration>& offsets) {
    const auto median = offsets[(offsets.size() - 1) / 2];
    const auto agreeing =
        std::count_if(offsets.begin(), offsets.end(), [median](clock::duration offset) {
            return std::chrono::abs(offset - median) <= agreement;
        });
    if (static_cast<std::size_t>(agreeing) * 2 <= offsets.size()) {
        return std::nullopt;
    }
    return median;
}

} // namespace

window_clock::window_clock(instance_id own, clock::time_point started)
    : m_own(std::move(own)), m_started(started) {}

void window_clock::own_clock(true_time wall, clock::time_point now) {
    m_samples[m_own] = {wall.time_since_epoch() - now.time_since_epoch(), now};
}

void window_clock::peer_clock(const instance_id& peer, true_time wall, clock::time_point asked,
                              clock::time_point answered) {
    const auto round_trip = answered - asked;
    if (round_trip < clock::duration::zero() || round_trip > max_round_trip) {
        return;
    }
    const auto middle = asked + round_trip / 2;
    m_samples[peer] = {wall.time_since_epoch() - middle.time_since_epoch(), answered};
}

void window_clock::advance(clock::time_point now) {
    const auto known = offsets(now);
    if (known.empty()) {
        return;
    }
    if (m_offset) {
        follow(known, now);
    } else {
        establish(known, now);
    }
    m_advanced_at = now;
}

std::optional<true_time> window_clock::at(clock::time_point at) const {
    if (!m_offset) {
        return std::nullopt;
    }
    return true_time(at.time_since_epoch() + *m_offset);
}

std::vector<clock::duration> window_clock::offsets(clock::time_point now) {
    std::erase_if(m_samples,
                  [now](const auto& known) { return now - known.second.at > sample_lifetime; });
    std::vector<clock::duration> result;
    for (const auto& [instance, known] : m_samples) {
        result.push_back(known.offset);
    }
    std::sort(result.begin(), result.end());
    return result;
}

void window_clock::establish(const std::vector<clock::duration>& offsets, clock::time_point now) {
    const bool waited = now - m_started >= establishment_limit;
    const auto agreed = majority(offsets);
    if (agreed && (offsets.size() >= min_clocks_for_change || waited)) {
        m_offset = agreed;
    }
}

void window_clock::follow(const std::vector<clock::duration>& offsets, clock::time_point now) {
    const auto agreed = majority(offsets);
    const bool differs = agreed && std::chrono::abs(*agreed - *m_offset) > agreement;
    if (agreed && !differs) {
        const auto most = std::max((now - m_advanced_at) / slew_divisor, clock::duration::zero());
        *m_offset += std::clamp(*agreed - *m_offset, -most, most);
    }
    if (!differs || offsets.size() < min_clocks_for_change) {
        m_disagreeing_since.reset();
        return;
    }
    if (!m_disagreeing_since || std::chrono::abs(*agreed - m_majority_offset) > agreement) {
        m_disagreeing_since = now;
        m_majority_offset = *agreed;
    }
    if (now - *m_disagreeing_since >= change_delay) {
        m_offset = agreed;
        m_disagreeing_since.reset();
    }
}

} // namespace oriole::usage
