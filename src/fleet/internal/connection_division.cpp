#include "fleet/connection_division.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace oriole::fleet {
namespace {

/// One in so many of a server's connections is left free: those of machines that lost power stay
/// for seconds, and what starts in their place needs some.
constexpr int spare_part = 4;
/// Each zone but the replica's own gets one in so many of its connections.
constexpr int far_part = 6;

/// `total` divided over `parts`; the first parts get the remainder.
int part_of(int total, int parts, int rank) {
    return total / parts + (rank < total % parts ? 1 : 0);
}

} // namespace

connection_allotment connections_for(const listed_instance& own,
                                     const std::vector<listed_instance>& instances,
                                     const listed_server& server, bool primary,
                                     int max_connections) {
    std::map<zone_name, int> zones;
    ++zones[own.zone];
    for (const auto& instance : instances) {
        zones[instance.zone] += instance.id == own.id ? 0 : 1;
    }
    const int count = static_cast<int>(zones.size());
    const int available = std::max(max_connections - max_connections / spare_part, 1);
    const int far = std::max(available / far_part, 1);
    int part = 0;
    if (primary || !zones.contains(server.zone) || available < far * count) {
        const auto rank = std::distance(zones.begin(), zones.find(own.zone));
        part = part_of(available, count, static_cast<int>(rank));
    } else {
        part = own.zone == server.zone ? available - far * (count - 1) : far;
    }
    return {std::max(part, 1), std::max(part / zones.at(own.zone), 1)};
}

} // namespace oriole::fleet
