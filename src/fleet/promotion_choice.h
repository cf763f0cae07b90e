#pragma once

#include "base/types/name.h"
#include "machines/types/log_position.h"

#include <optional>
#include <vector>

namespace oriole::fleet {

/// What is known of the log of a server that may become the primary.
struct replica_log {
    server_name server;
    bool is_leaving = false; ///< draining, or in an evacuated zone
    /// Position up to which it has received the primary's log; nullopt when it did not answer.
    std::optional<machines::log_position> received;
    /// The log is that of a primary that has stepped down, so it has every acknowledged commit.
    bool is_complete = false;

    friend bool operator==(const replica_log&, const replica_log&) = default;
};

/// Chooses the replica to promote: the one with the longest log, the first of equal ones. Leaving
/// replicas are considered only where a commit is acknowledged once `synchronous_replicas` replicas
/// have received it, since one of them may have the only copy. nullopt when no replica may be
/// promoted, because those that did not answer may have the only copies, or none answered.
/// If one of the logs is complete, those that did not answer do not matter. `replicas` lists all
/// replicas of the service, preferred ones first. Thread-safe.
[[nodiscard]] std::optional<server_name>
choose_longest_log(const std::vector<replica_log>& replicas, int synchronous_replicas);

} // namespace oriole::fleet
