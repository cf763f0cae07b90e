#pragma once

#include "base/types/name.h"
#include "base/types/service_state.h"

#include <utility>

namespace oriole::zones {

/// An availability zone, which operators can take out of service and return to service. Immutable.
class availability_zone {
public:
    availability_zone(zone_name name, region_name region, service_state state)
        : m_name(std::move(name)), m_region(std::move(region)), m_state(state) {}

    [[nodiscard]] const zone_name& name() const noexcept { return m_name; }

    [[nodiscard]] const region_name& region() const noexcept { return m_region; }

    [[nodiscard]] service_state state() const noexcept { return m_state; }

    friend auto operator<=>(const availability_zone&, const availability_zone&) = default;

private:
    zone_name m_name;
    region_name m_region;
    service_state m_state;
};

} // namespace oriole::zones
