#pragma once

#include "base/clock.h"
#include "entry/types/peer_report.h"
#include "entry/types/traffic_report.h"

#include <functional>
#include <map>
#include <optional>

namespace oriole::entry {

/// What this instance and its report peers (the instances it exchanges reports with) have observed
/// about the primaries of the services. Not thread-safe.
class evidence_record {
public:
    void record_traffic(const traffic_report& report);

    void merge_report(const instance_id& from, const service_name& service,
                      const peer_service_report& report, clock::time_point now);

    /// Builds the reports for other instances about the services whose statements run through this
    /// instance.
    [[nodiscard]] std::map<service_name, peer_service_report> reports(clock::time_point now) const;

    [[nodiscard]] fleet::primary_evidence own_of(const service_name& service) const;

    /// Evidence that other instances have reported within `lifetime`.
    [[nodiscard]] std::map<instance_id, fleet::primary_evidence>
    peers_of(const service_name& service, clock::time_point now) const;

    /// Returns whether this instance itself sees a primary failing.
    [[nodiscard]] bool any_primary_failing() const;

    /// Returns whether the primaries of at least half of the services are failing. Counts the
    /// services used by this instance and by the instances for which `in_same_zone` returns true.
    [[nodiscard]] bool
    most_primaries_failing(const std::function<bool(const instance_id&)>& in_same_zone,
                           clock::time_point now) const;

    /// How long evidence reported by another instance is valid.
    static constexpr clock::duration lifetime = std::chrono::milliseconds(1500);

private:
    struct peer_evidence {
        fleet::primary_evidence evidence;
        clock::time_point received_at;
    };

    std::map<service_name, routing::service_report> m_own_reports;
    std::map<service_name, std::map<instance_id, peer_evidence>> m_peer_evidence;
};

} // namespace oriole::entry
