#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <cstdint>

namespace oriole::fleet {

/// An instance of this system as it registered itself.
struct listed_instance {
    instance_id id;
    zone_name zone;
    endpoint peer_address;
    endpoint gateway_address;      ///< where other instances hand over statements
    int capacity = 1;              ///< its share of a processor core, in hundredths
    std::uint64_t incarnation = 0; ///< random, new at each start
    std::uint64_t beats = 0;       ///< grows while the instance lives and reaches the store

    friend auto operator<=>(const listed_instance&, const listed_instance&) = default;
};

} // namespace oriole::fleet
