#pragma once

#include "machines/types/database_view.h"
#include "machines/types/read_plan.h"

#include <chrono>
#include <memory>

namespace oriole::machines {

/// Ranks servers for reads. The ranking is a prediction from earlier reports: the server checks the
/// read's requirement itself and refuses what it cannot answer, so a wrong choice costs one round
/// trip. Thread-safe.
class replica_selector {
public:
    virtual ~replica_selector() = default;

    [[nodiscard]] virtual read_plan rank(const database_view& view,
                                         const read_query& query) const = 0;
};

struct replica_selector_settings {
    /// A server whose last report is older than this is ranked low: five probe rounds were missed.
    std::chrono::milliseconds stale_after{500};
    /// Longest time that a read waits for a replica to catch up although the primary could answer
    /// the read.
    std::chrono::milliseconds max_short_wait{5};
    /// Longest time that a read waits for a lagging replica (`read_suitability::behind`) when no
    /// better server is left.
    std::chrono::milliseconds max_behind_wait{250};
    /// Assumed latency of a server in another zone before any has been measured.
    std::chrono::microseconds assumed_latency{2000};
    /// From this load on (see `server_condition::load`), a replica ranks below the primary.
    double saturated_load = 2.0;

    friend bool operator==(const replica_selector_settings&,
                           const replica_selector_settings&) = default;
};

[[nodiscard]] std::unique_ptr<replica_selector>
make_replica_selector(replica_selector_settings settings = {});

} // namespace oriole::machines
