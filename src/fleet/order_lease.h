#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/promotion_order.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriole::fleet {

/// When an order to change a primary was given, at the latest.
struct order_time {
    std::uint64_t revision = 0; ///< of the order in the store
    clock::time_point at{};

    friend bool operator==(const order_time&, const order_time&) = default;
};

/// Keeps two instances from ordering changes of one service in turn: after an order its holder has
/// the service for itself for a while. Not thread-safe; owned by the control thread.
class order_lease {
public:
    explicit order_lease(instance_id own) : m_own(std::move(own)) {}

    /// An order of that revision exists and was given no later than `at`.
    void seen(const service_name& service, std::uint64_t revision, clock::time_point at);

    /// Whether this instance may give the next order after `last`, which the store holds now.
    [[nodiscard]] bool may_order(const promotion_order& last, clock::time_point now);

    /// The newest order that is known; nullopt without one.
    [[nodiscard]] std::optional<order_time> newest(const service_name& service) const;

private:
    instance_id m_own;
    std::map<service_name, order_time> m_seen;
};

} // namespace oriole::fleet
