#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <cstdint>

namespace oriole::usage {

/// What an instance knows of the newest usage order. Passed between the collectors so that they
/// need not read the store while one of them reports.
struct order_news {
    std::int64_t window = 0;
    std::uint64_t fence = 0; ///< fencing token of the order; 0 when none is known
    instance_id holder;
    clock::duration age{}; ///< lower bound of the order's age
    bool accepted = false; ///< the platform has accepted the order's report

    friend bool operator==(const order_news&, const order_news&) = default;
};

} // namespace oriole::usage
