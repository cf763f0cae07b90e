#pragma once

#include "base/types/name.h"
#include "contracts/types/share_ledger.h"

#include <cstdint>
#include <set>
#include <utility>

namespace oriole::contracts {

/// Initial division of the rates among the zones' ledgers. The operator who sets up a fleet stores
/// it in the platform once, and it is never changed, so that the parts in all ledgers add up to at
/// most the whole rate even though instances learn of new zones and settings at different times.
/// Immutable.
class share_plan {
public:
    /// Precondition: `slots_per_zone` is positive and `zones` is not empty.
    share_plan(std::uint32_t slots_per_zone, std::set<zone_name> zones)
        : m_slots_per_zone(slots_per_zone), m_zones(std::move(zones)) {}

    /// Number of instances that each zone may have, including spare instances.
    [[nodiscard]] std::uint32_t slots_per_zone() const noexcept { return m_slots_per_zone; }

    [[nodiscard]] const std::set<zone_name>& zones() const noexcept { return m_zones; }

    /// The ledger of `zone` while the platform stores none. A zone that is not in the plan starts
    /// without parts and gets loans from other zones.
    [[nodiscard]] share_ledger initial_ledger(const zone_name& zone) const {
        const auto count = static_cast<std::uint32_t>(m_zones.size());
        const bool is_planned = m_zones.contains(zone);
        return {is_planned ? m_slots_per_zone : 0, m_slots_per_zone * count,
                is_planned ? loan_half / count : 0};
    }

    friend bool operator==(const share_plan&, const share_plan&) = default;

private:
    std::uint32_t m_slots_per_zone;
    std::set<zone_name> m_zones;
};

} // namespace oriole::contracts
