#include "fleet/connection_quota.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace oriole::fleet {
namespace {

/// One in four of a server's connections is kept in reserve. A server keeps the connections of
/// machines that lost power open for seconds, and the replacement instances need connections too.
constexpr int reserve_divisor = 4;
/// Each zone other than the replica's own zone gets one sixth of the replica's connections.
constexpr int remote_zone_divisor = 6;

/// Divides `total` into `count` shares and returns the share with index `rank`. The remainder is
/// spread over the first shares, one each.
int even_share(int total, int count, int rank) {
    return total / count + (rank < total % count ? 1 : 0);
}

} // namespace

connection_quota connection_quota_for(const registered_instance& own,
                                      const std::vector<registered_instance>& instances,
                                      const registered_server& server, bool primary,
                                      int max_connections) {
    std::map<zone_name, int> instances_by_zone;
    ++instances_by_zone[own.zone];
    for (const auto& instance : instances) {
        instances_by_zone[instance.zone] += instance.id == own.id ? 0 : 1;
    }
    const int zone_count = static_cast<int>(instances_by_zone.size());
    const int available = std::max(max_connections - max_connections / reserve_divisor, 1);
    const int remote_quota = std::max(available / remote_zone_divisor, 1);
    int zone_quota = 0;
    if (primary || !instances_by_zone.contains(server.zone) ||
        available < remote_quota * zone_count) {
        const auto rank =
            std::distance(instances_by_zone.begin(), instances_by_zone.find(own.zone));
        zone_quota = even_share(available, zone_count, static_cast<int>(rank));
    } else {
        zone_quota =
            own.zone == server.zone ? available - remote_quota * (zone_count - 1) : remote_quota;
    }
    return {std::max(zone_quota, 1), std::max(zone_quota / instances_by_zone.at(own.zone), 1)};
}

} // namespace oriole::fleet
