#pragma once

#include "entry/internal/peer_clocks.h"
#include "usage/wall_clock.h"
#include "usage/window_clock.h"

#include <optional>

namespace oriole::entry {

/// True time from this instance's wall clock and those of the report peers. Not thread-safe; used
/// on the control thread.
class usage_time final : public peer_clocks {
public:
    /// `wall` must outlive this object.
    usage_time(const instance_id& own, const usage::wall_clock& wall)
        : m_wall(wall), m_clock(own, boot_clock().now()) {}

    [[nodiscard]] usage::true_time own_wall_time() const override { return m_wall.now(); }

    void record_wall_time(const instance_id& peer, usage::true_time wall, clock::time_point asked,
                          clock::time_point answered) override {
        m_clock.peer_clock(peer, wall, asked, answered);
    }

    /// Reads this instance's wall clock and adjusts true time. To be called several times a second.
    void advance() {
        const auto now = boot_clock().now();
        m_clock.own_clock(m_wall.now(), now);
        m_clock.advance(now);
    }

    /// True time; nullopt while it is not known.
    [[nodiscard]] std::optional<usage::true_time> now() const {
        return m_clock.at(boot_clock().now());
    }

    [[nodiscard]] const usage::window_clock& clock() const { return m_clock; }

private:
    const usage::wall_clock& m_wall;
    usage::window_clock m_clock;
};

} // namespace oriole::entry
