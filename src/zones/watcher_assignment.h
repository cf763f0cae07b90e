#pragma once

#include "base/types/name.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace oriole::zones {

/// Configuration watchers per zone. One may fail without delaying updates for the zone, and the
/// platform has to serve only two watches per zone, whatever the size of the fleet.
inline constexpr std::size_t config_watchers_per_zone = 2;

/// Decides which instances of a zone perform a duty, such as watching the configuration, on behalf
/// of all. Instances with the same view of the members agree without coordination. While views
/// differ, more or fewer instances than intended may perform a duty. Thread-safe.
class watcher_assignment {
public:
    virtual ~watcher_assignment() = default;

    /// The members that perform `duty`: the `count` members of lowest rank, or all if there are
    /// fewer, in ascending order of rank.
    [[nodiscard]] virtual std::vector<instance_id> assigned(const std::string& duty,
                                                            const std::vector<instance_id>& members,
                                                            std::size_t count) const = 0;
};

/// Ranks members by rendezvous hash, so that a member that joins or leaves affects only the duties
/// that it takes over or had.
[[nodiscard]] std::unique_ptr<watcher_assignment> make_rendezvous_watcher_assignment();

/// The name of the duty of watching the configuration on behalf of `zone`.
[[nodiscard]] std::string config_watch_duty(const zone_name& zone);

} // namespace oriole::zones
