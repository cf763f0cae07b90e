#pragma once

#include "base/clock.h"
#include "machines/types/log_position.h"
#include "machines/types/promotion_messages.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string_view>

namespace oriole::machines {

enum class switchover_state {
    idle,
    holding,   ///< new writes wait; those in flight finish and the target server catches up
    promoting, ///< the target is being promoted; new writes still wait
    done,      ///< the new primary accepts writes
    abandoned  ///< the target lagged too long or the promotion failed; held writes are released
};

[[nodiscard]] constexpr std::string_view to_string(switchover_state value) noexcept {
    switch (value) {
    case switchover_state::idle:
        return "idle";
    case switchover_state::holding:
        return "holding";
    case switchover_state::promoting:
        return "promoting";
    case switchover_state::done:
        return "done";
    case switchover_state::abandoned:
        return "abandoned";
    }
    return "abandoned";
}

enum class switchover_action { none, hold_writes, start_promotion, release_writes };

/// State machine of a planned change of primary to a given target server. Holding new writes avoids
/// a race between them and the change, so that no caller sees a refused write. Correctness depends
/// on the promotion alone: writes of instances that do not know of the change yet are only refused
/// and retried. Not thread-safe.
class switchover {
public:
    virtual ~switchover() = default;

    /// Precondition: the state is idle.
    [[nodiscard]] virtual switchover_action start(clock::time_point now) = 0;

    /// Takes log positions from the latest probes. `primary_steady` means that the primary's log
    /// has not grown since the previous probe, so the writes in flight have finished.
    [[nodiscard]] virtual switchover_action
    update_positions(log_position primary, log_position target, bool primary_steady) = 0;

    [[nodiscard]] virtual switchover_action promotion_ended(promotion_state end) = 0;

    /// The old primary has failed. Abandons the planned change; a failover follows.
    [[nodiscard]] virtual switchover_action primary_failed() = 0;

    /// Call regularly: abandons the change if the target has not caught up within the timeout.
    [[nodiscard]] virtual switchover_action tick(clock::time_point now) = 0;

    [[nodiscard]] virtual switchover_state state() const noexcept = 0;
};

/// How long writes are held while the target catches up. Replicas lag by up to 200 ms and probes
/// are sent every 100 ms, so a healthy target needs well under a second.
inline constexpr std::chrono::milliseconds default_switchover_timeout{1000};

[[nodiscard]] std::unique_ptr<switchover>
make_switchover(std::chrono::milliseconds timeout = default_switchover_timeout);

} // namespace oriole::machines
