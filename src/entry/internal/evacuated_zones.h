#pragma once

#include "base/clock.h"
#include "base/decision_log.h"
#include "entry/fleet_store.h"
#include "entry/types/peer_report.h"
#include "fleet/types/store_revision.h"

#include <map>
#include <set>
#include <vector>

namespace oriole::entry {

/// The availability zones whose backend servers may not be used, from the store and from other
/// instances. Not thread-safe; owned by the control thread.
class evacuated_zones {
public:
    explicit evacuated_zones(decision_log& log) : m_log(log) {}

    /// Applies a page of evacuations. `is_snapshot` is true for a complete list and false for
    /// changes. A page that is older than the last one is ignored. An evacuation that a restored
    /// store has lost stays in force until the operators had time to write it again.
    void update(const store_page<evacuation>& page, bool is_snapshot, clock::time_point now);

    /// Ends evacuations that the operators did not write again after a restore.
    void advance(clock::time_point now);

    [[nodiscard]] bool contains(const zone_name& zone) const { return m_zones.contains(zone); }

    [[nodiscard]] std::set<zone_name> zones() const;

    [[nodiscard]] std::vector<reported_evacuation> reported() const;

    /// The newest store revision that is reflected.
    [[nodiscard]] const fleet::store_revision& revision() const noexcept { return m_revision; }

private:
    struct evacuated_zone {
        fleet::store_revision revision; ///< of the entry's last change
        /// When the evacuation ends; set while a restored store lacks it.
        std::optional<clock::time_point> expires_at;
    };

    void begin(const zone_name& zone, const fleet::store_revision& revision);
    void end(const zone_name& zone, const fleet::store_revision& revision);
    void end_missing(const std::set<zone_name>& listed, clock::time_point now);
    void log(const zone_name& zone, const fleet::store_revision& revision,
             std::string_view outcome);

    decision_log& m_log;
    fleet::store_revision m_revision;
    std::map<zone_name, evacuated_zone> m_zones;
    std::optional<clock::time_point> m_grace_period_end;
};

} // namespace oriole::entry
