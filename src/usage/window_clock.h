#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "usage/types/true_time.h"

#include <map>
#include <optional>
#include <vector>

namespace oriole::usage {

/// True time, derived from the boot clock, which cannot be set, and from the wall clocks of several
/// instances, any of which may step. A step of a minority of them changes nothing. Not thread-safe;
/// owned by the control thread.
class window_clock {
public:
    /// `started` is the boot clock's time.
    window_clock(instance_id own, clock::time_point started);

    /// Records that this instance's wall clock showed `wall` at the boot clock's time `now`.
    void own_clock(true_time wall, clock::time_point now);

    /// Records that another instance's wall clock showed `wall` between the boot clock's times
    /// `asked` and `answered`. Samples with a long round trip are not used.
    void peer_clock(const instance_id& peer, true_time wall, clock::time_point asked,
                    clock::time_point answered);

    /// Adjusts the offset to the known clocks. To be called several times a second.
    void advance(clock::time_point now);

    /// True time at the boot clock's time `at`; nullopt until enough clocks are known, or only this
    /// instance's one after establishment_limit.
    [[nodiscard]] std::optional<true_time> at(clock::time_point at) const;

    /// How long an instance waits for other clocks before it believes its own.
    static constexpr clock::duration establishment_limit = std::chrono::seconds(2);

private:
    struct sample {
        clock::duration offset{}; ///< wall clock minus boot clock
        clock::time_point at{};
    };

    /// The known offsets in ascending order.
    [[nodiscard]] std::vector<clock::duration> offsets(clock::time_point now);
    void establish(const std::vector<clock::duration>& offsets, clock::time_point now);
    void follow(const std::vector<clock::duration>& offsets, clock::time_point now);

    instance_id m_own;
    clock::time_point m_started;
    std::map<instance_id, sample> m_samples;
    std::optional<clock::duration> m_offset;
    clock::time_point m_advanced_at{};
    /// Since when a majority has agreed on an offset that is far from the current one.
    std::optional<clock::time_point> m_disagreeing_since;
    clock::duration m_majority_offset{};
};

} // namespace oriole::usage
