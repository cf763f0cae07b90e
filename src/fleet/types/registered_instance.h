#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <cstdint>

namespace oriole::fleet {

/// The store's entry of an instance of this system, as the instance registered itself.
struct registered_instance {
    instance_id id;
    zone_name zone;
    endpoint peer_address;
    endpoint gateway_address;      ///< where other instances forward statements to
    int capacity = 1;              ///< CPU share, in hundredths of a core
    std::uint64_t incarnation = 0; ///< random number, chosen anew at each start
    std::uint64_t heartbeats = 0;  ///< heartbeats that the instance has written to the store

    friend auto operator<=>(const registered_instance&, const registered_instance&) = default;
};

} // namespace oriole::fleet
