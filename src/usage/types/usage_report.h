#pragma once

#include "base/types/name.h"

#include <cstdint>
#include <map>

namespace oriole::usage {

/// The operations of each account that began to run at backend servers during one usage window of
/// the whole fleet.
struct usage_report {
    /// Number of the window: window k begins k window lengths after the start of 1970, true time.
    std::int64_t window = 0;
    std::map<account_name, std::uint64_t> counts;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

} // namespace oriole::usage
