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
    std::uint64_t fence = 0; ///< fencing token of the promotion order
    clock::time_point at{};  ///< earliest time at which the order is known to have existed

    friend bool operator==(const promotion_time&, const promotion_time&) = default;
};

/// Prevents two instances from alternately promoting different servers of one service: for a few
/// seconds after a promotion order, only the instance that wrote it may write the next one. Not
/// thread-safe; owned by the control thread.
class promotion_lease {
public:
    explicit promotion_lease(instance_id own) : m_own(std::move(own)) {}

    /// Records that the service's promotion order with the fencing token `fence` existed at `at`.
    void seen(const service_name& service, std::uint64_t fence, clock::time_point at);

    /// Whether this instance may write the next promotion order of the service. `last` is the
    /// newest order that it knows at `now`, from the store or from before a restore of the store.
    [[nodiscard]] bool may_promote(const promotion_order& last, clock::time_point now);

    /// The known promotion order with the highest fencing token; nullopt when none is known.
    [[nodiscard]] std::optional<promotion_time> newest(const service_name& service) const;

private:
    instance_id m_own;
    std::map<service_name, promotion_time> m_orders;
};

} // namespace oriole::fleet
