#pragma once

#include "base/types/name.h"

#include <compare>
#include <map>
#include <set>
#include <utility>

namespace oriole::contracts {

/// The live instances on which decisions about shares depend: those of the instance's own zone, and
/// the coordinator of each zone, which is its live instance with the lowest rendezvous rank. An
/// outdated view, or different views at different instances, never let the fleet exceed the rates.
/// Immutable.
class share_view {
public:
    share_view() = default;

    share_view(std::set<instance_id> peers, std::map<zone_name, instance_id> coordinators)
        : m_peers(std::move(peers)), m_coordinators(std::move(coordinators)) {}

    /// Live instances of this instance's zone, except this instance.
    [[nodiscard]] const std::set<instance_id>& peers() const noexcept { return m_peers; }

    [[nodiscard]] const std::map<zone_name, instance_id>& coordinators() const noexcept {
        return m_coordinators;
    }

    friend bool operator==(const share_view&, const share_view&) = default;

private:
    std::set<instance_id> m_peers;
    std::map<zone_name, instance_id> m_coordinators;
};

} // namespace oriole::contracts
