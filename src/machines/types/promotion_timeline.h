#pragma once

#include "base/types/name.h"
#include "machines/types/promotion_messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriole::machines {

/// Time at which a promotion entered a state, measured from its start.
struct promotion_milestone {
    promotion_state state = promotion_state::idle;
    std::chrono::milliseconds after{0};

    friend bool operator==(const promotion_milestone&, const promotion_milestone&) = default;
};

/// Record of one change of primary for display to operators.
struct promotion_timeline {
    database_name database;
    std::string reason;
    std::uint64_t term = 0;
    std::chrono::system_clock::time_point started; ///< wall-clock time, for display only
    std::optional<server_name> primary;            ///< the new primary, once it is chosen
    std::vector<promotion_milestone> milestones;

    friend bool operator==(const promotion_timeline&, const promotion_timeline&) = default;
};

} // namespace oriole::machines
