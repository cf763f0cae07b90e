#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace oriole::fleet {

/// An order of a duty and an upper bound for the time at which it was written to the store.
struct order_time {
    std::uint64_t fence = 0; ///< fencing token of the order
    clock::time_point at{};  ///< earliest time at which the order is known to have existed

    friend bool operator==(const order_time&, const order_time&) = default;
};

/// Prevents two instances from acting in turn in one duty of the fleet, such as promoting servers
/// of one service: for a period after an order of the duty, only the instance that wrote it may
/// write the next one. Not thread-safe; owned by the control thread.
class duty_lease {
public:
    duty_lease(instance_id own, clock::duration period) : m_own(std::move(own)), m_period(period) {}

    /// Records that the order with the fencing token `fence` existed at `at`.
    void seen(std::uint64_t fence, clock::time_point at);

    /// Whether this instance may write the next order. `holder` and `fence` are those of the newest
    /// order that it knows at `now`, from the store or from before a restore of the store; `fence`
    /// is 0 when there is none.
    [[nodiscard]] bool may_act(const instance_id& holder, std::uint64_t fence,
                               clock::time_point now);

    /// The known order with the highest fencing token; nullopt when none is known.
    [[nodiscard]] const std::optional<order_time>& newest() const { return m_newest; }

private:
    instance_id m_own;
    clock::duration m_period;
    std::optional<order_time> m_newest;
};

} // namespace oriole::fleet
