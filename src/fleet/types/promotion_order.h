#pragma once

#include "base/types/name.h"

#include <cstdint>

namespace oriole::fleet {

/// The last decision about a service's primary, as kept in the store. The revision of the object is
/// the fence of the order.
struct promotion_order {
    service_name service;
    instance_id holder;
    server_name target;
    std::uint64_t revision = 0; ///< 0 when the store has none yet

    friend bool operator==(const promotion_order&, const promotion_order&) = default;
};

} // namespace oriole::fleet
