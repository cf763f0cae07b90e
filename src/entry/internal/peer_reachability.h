#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/registered_instance.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// How an exchange with another instance ended.
enum class exchange_end {
    answered,
    refused, ///< its machine refused the connection: its process ended, or a partition refuses
    silent   ///< no answer, or none that can be used
};

/// What the exchanges with other instances show about the network around this instance. Not
/// thread-safe; owned by the control thread.
class peer_reachability {
public:
    explicit peer_reachability(zone_name own_zone) : m_own_zone(std::move(own_zone)) {}

    /// Records the end of an exchange with an instance. Returns whether its outcome differs from
    /// that of the last exchange with the same instance.
    bool record(const instance_id& peer, const zone_name& zone, exchange_end end,
                clock::time_point now);

    /// Whether the last exchange with each of `report_peers` that belong to other zones failed;
    /// nullopt when there are none.
    [[nodiscard]] std::optional<bool>
    lost_report_peers(const std::vector<fleet::registered_instance>& report_peers) const;

    /// Whether several instances of other zones have failed since the last answer of one. Where a
    /// partition refuses connections, this is known long before the last exchange with each report
    /// peer has failed: a refusal looks like the end of a process, whose place among the report
    /// peers an untried instance takes.
    [[nodiscard]] bool lost_other_zones(clock::time_point now) const;

    /// Whether this instance alone is cut off: several instances, of its own zone or others, have
    /// been silent since the last answer of any. Refusals do not count, since the others may have
    /// ended.
    [[nodiscard]] bool lost_all(clock::time_point now) const;

private:
    /// The failures of a group of instances since the last answer of one of them.
    struct failures_since_answer {
        std::set<instance_id> failed;
        clock::time_point first{}; ///< time of the first failure; valid unless `failed` is empty

        void record(const instance_id& peer, clock::time_point now);
        [[nodiscard]] bool lost(clock::duration silence, clock::time_point now) const;
    };

    zone_name m_own_zone;
    std::map<instance_id, bool> m_answered; ///< outcome of the last exchange
    failures_since_answer m_other_zones;
    failures_since_answer m_silent; ///< of all zones, without refusals
};

} // namespace oriole::entry
