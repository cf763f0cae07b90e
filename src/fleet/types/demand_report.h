#pragma once

#include "base/types/name.h"

#include <cstdint>
#include <map>

namespace oriole::fleet {

/// What callers ask of one instance, in operations per second by account.
struct demand_report {
    instance_id from;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; ///< grows with each report of one incarnation
    std::map<account_name, double> demand;

    friend bool operator==(const demand_report&, const demand_report&) = default;
};

} // namespace oriole::fleet
