#pragma once

#include "base/types/name.h"

#include <cstdint>

namespace oriole::fleet {

/// The last decision to promote a server to primary of a service, as kept in the store. The store
/// revision of the object is the fencing token of the order.
struct promotion_order {
    service_name service;
    instance_id holder;         ///< instance that wrote the order
    server_name target;         ///< server to promote
    std::uint64_t revision = 0; ///< store revision; 0 when the store has no order yet

    friend bool operator==(const promotion_order&, const promotion_order&) = default;
};

} // namespace oriole::fleet
