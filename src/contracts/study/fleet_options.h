#pragma once

#include "contracts/share_holding.h"
#include "contracts/types/rate.h"
#include "contracts/types/share_lease.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace oriole::contracts {

/// Parameters of a simulated_fleet run; must not change during the run.
struct fleet_options {
    std::uint64_t seed = 1;
    std::vector<zone_name> zones;
    std::uint32_t slots_per_zone = 0;
    std::map<account_name, rate> rates;
    share_lease lease;
    clock::duration min_delay = std::chrono::microseconds(500);
    clock::duration max_delay = std::chrono::milliseconds(2);
    clock::duration tick = std::chrono::milliseconds(100);
    clock::duration detection_delay = std::chrono::seconds(2); ///< until a crash is noticed
    double loss_probability = 0;        ///< for each message and platform response
    double duplication_probability = 0; ///< probability that a message is repeated
    double late_probability = 0;        ///< probability of a delay up to max_late_delay
    clock::duration max_late_delay = std::chrono::seconds(20);
    double max_clock_drift = 0;       ///< largest relative error of a clock's speed
    bool random_coordinators = false; ///< instances see random live coordinators
    std::function<std::unique_ptr<share_holding>(const instance_id&, const zone_name&)>
        make_holding; ///< leased_share_holding is used if empty
};

} // namespace oriole::contracts
