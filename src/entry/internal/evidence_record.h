#pragma once

#include "base/clock.h"
#include "entry/types/peer_report.h"
#include "entry/types/traffic_report.h"

#include <functional>
#include <map>
#include <optional>

namespace oriole::entry {

/// What this instance and its partners saw of the services' primaries. Not thread-safe.
class evidence_record {
public:
    void take_traffic(const traffic_report& report);

    void take_report(const instance_id& from, const service_name& service,
                     const peer_service_report& report, clock::time_point now);

    /// What to tell other instances, of the services whose statements go through this one.
    [[nodiscard]] std::map<service_name, peer_service_report> reports(clock::time_point now) const;

    [[nodiscard]] fleet::primary_evidence own_of(const service_name& service) const;

    /// Recent evidence of other instances.
    [[nodiscard]] std::map<instance_id, fleet::primary_evidence>
    peers_of(const service_name& service, clock::time_point now) const;

    /// Whether a primary fails here.
    [[nodiscard]] bool primary_fails() const;

    /// Whether the primaries of at least half of the services fail that this instance, and those
    /// for which `near` holds, use.
    [[nodiscard]] bool most_primaries_fail(const std::function<bool(const instance_id&)>& near,
                                           clock::time_point now) const;

    /// Evidence of other instances is this long of use.
    static constexpr clock::duration life = std::chrono::milliseconds(1500);

private:
    struct peer_evidence {
        fleet::primary_evidence evidence;
        clock::time_point heard;
    };

    std::map<service_name, service_report> m_own;
    std::map<service_name, std::map<instance_id, peer_evidence>> m_peers;
};

} // namespace oriole::entry
