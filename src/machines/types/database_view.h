#pragma once

#include "machines/types/position_sample.h"
#include "machines/types/server_report.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriole::machines {

/// Snapshot of what this instance knows about a database. The control thread builds it and
/// publishes it to the traffic threads. It may be out of date, so the servers check every request
/// themselves.
struct database_view {
    database_name database;
    std::uint64_t term = 0; ///< highest term seen
    std::optional<server_name> primary;
    std::map<server_name, server_report> reports; ///< last report of each server that has answered
    /// Samples of the primary's log position, oldest first, of about the last second.
    std::vector<position_sample> progress;
    /// A planned change of primary is in progress, and new writes wait until it has ended.
    bool writes_held = false;

    friend bool operator==(const database_view&, const database_view&) = default;
};

} // namespace oriole::machines
