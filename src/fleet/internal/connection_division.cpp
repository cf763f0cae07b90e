#include "fleet/connection_division.h"

#include <algorithm>

namespace oriole::fleet {
namespace {

/// One in so many of a server's connections is left free: those of machines that lost power stay
/// for seconds, and what starts in their place needs some.
constexpr int spare_part = 4;

/// `total` divided over `parts`; the first parts get the remainder.
int part_of(int total, int parts, int rank) {
    if (parts <= 0) {
        return 0;
    }
    return total / parts + (rank < total % parts ? 1 : 0);
}

} // namespace

int connections_for(const listed_instance& own, const std::vector<listed_instance>& instances,
                    const listed_server& server, bool primary, int max_connections) {
    std::vector<instance_id> near;
    std::vector<instance_id> all;
    for (const auto& instance : instances) {
        all.push_back(instance.id);
        if (instance.zone == server.zone) {
            near.push_back(instance.id);
        }
    }
    std::sort(all.begin(), all.end());
    std::sort(near.begin(), near.end());
    const auto rank_in = [&own](const std::vector<instance_id>& group) {
        return static_cast<int>(std::lower_bound(group.begin(), group.end(), own.id) -
                                group.begin());
    };
    const int count = static_cast<int>(all.size());
    const int available = std::max(max_connections - max_connections / spare_part, 1);
    const int far = count - static_cast<int>(near.size());
    if (primary || near.empty() || available < far + static_cast<int>(near.size())) {
        return std::max(part_of(available, count, rank_in(all)), 1);
    }
    if (own.zone != server.zone) {
        return 1;
    }
    return part_of(available - far, static_cast<int>(near.size()), rank_in(near));
}

} // namespace oriole::fleet
