#pragma once

#include "zones/relay_topology.h"

#include <cstddef>
#include <vector>

namespace oriole::zones {

/// The members in the order that all instances use for one relay: the origin first, then the
/// others, shuffled by generation. The shuffle spreads the work of the tree's inner nodes over the
/// instances.
[[nodiscard]] std::vector<instance_id> relay_order(const relay_context& context);

} // namespace oriole::zones
