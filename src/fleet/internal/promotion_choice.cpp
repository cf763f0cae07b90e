#include "fleet/promotion_choice.h"

#include <algorithm>

namespace oriole::fleet {

std::optional<server_name> choose_longest_log(const std::vector<replica_log>& replicas,
                                              int synchronous_replicas) {
    const bool synchronous = synchronous_replicas > 0;
    const auto unanswered = std::count_if(replicas.begin(), replicas.end(),
                                          [](const auto& replica) { return !replica.received; });
    const bool complete_log_known = std::any_of(
        replicas.begin(), replicas.end(), [](const auto& replica) { return replica.is_complete; });
    if (synchronous && !complete_log_known && unanswered >= synchronous_replicas) {
        return std::nullopt;
    }
    const replica_log* best = nullptr;
    for (const bool leaving : {false, true}) {
        for (const auto& replica : replicas) {
            const bool considered =
                replica.received && replica.is_leaving == leaving && (synchronous || !leaving);
            if (considered && (best == nullptr || *replica.received > *best->received)) {
                best = &replica;
            }
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->server);
}

} // namespace oriole::fleet
