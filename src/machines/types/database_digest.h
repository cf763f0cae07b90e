#pragma once

#include "machines/types/failure_evidence.h"
#include "machines/types/log_position.h"
#include "machines/types/server_report.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriole::machines {

/// A server's report as one instance passes it on to another. It has the time since the report was
/// received, because the instances' clocks differ; `report.received_at` is not used.
struct relayed_report {
    server_report report;
    std::chrono::milliseconds received_ago{0};

    friend bool operator==(const relayed_report&, const relayed_report&) = default;
};

/// Summary of a database's state that a watching instance sends to other instances.
struct database_digest {
    database_name database;
    instance_id from;
    std::uint64_t term = 0; ///< term of `primary`
    std::optional<server_name> primary;
    /// Highest term that the sender has seen or used, even a term without a primary.
    std::uint64_t highest_term = 0;
    std::vector<relayed_report> reports;
    std::optional<failure_evidence> evidence; ///< evidence that the primary has failed
    bool writes_held = false;                 ///< true during a planned change of primary

    friend bool operator==(const database_digest&, const database_digest&) = default;
};

} // namespace oriole::machines
