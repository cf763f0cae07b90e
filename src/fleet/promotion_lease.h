#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/promotion_order.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriole::fleet {

/// A promotion order and an upper bound for the time at which it was written to the store.
struct promotion_time {
    std::uint64_t revision = 0; ///< store revision of the promotion order
    clock::time_point at{};     ///< earliest time at which the order is known to have existed

    friend bool operator==(const promotion_time&, const promotion_time&) = default;
};

/// Prevents two instances from alternately promoting different servers of one service: for a few
/// seconds after a promotion order, only the instance that wrote it may write the next one. Not
/// thread-safe; owned by the control thread.
class promotion_lease {
public:
    explicit promotion_lease(instance_id own) : m_own(std::move(own)) {}

    /// Records that the service's promotion order with store revision `revision` existed at `at`.
    void seen(const service_name& service, std::uint64_t revision, clock::time_point at);

    /// Whether this instance may write the next promotion order of the service. `last` is the order
    /// that the store holds at `now`.
    [[nodiscard]] bool may_promote(const promotion_order& last, clock::time_point now);

    /// The known promotion order with the highest revision; nullopt when none is known.
    [[nodiscard]] std::optional<promotion_time> newest(const service_name& service) const;

private:
    instance_id m_own;
    std::map<service_name, promotion_time> m_orders;
};

} // namespace oriole::fleet
