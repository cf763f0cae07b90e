#pragma once

#include "fleet/types/store_revision.h"

#include <compare>
#include <cstdint>

namespace oriole::fleet {

/// Orders configurations by age. The operators' version goes first, because a restored store holds
/// an older configuration under a newer revision until the operators write the newest one again.
struct configuration_rank {
    std::int64_t version = 0;
    store_revision revision;

    friend auto operator<=>(const configuration_rank&, const configuration_rank&) = default;
};

} // namespace oriole::fleet
