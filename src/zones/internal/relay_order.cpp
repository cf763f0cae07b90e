#include "zones/internal/relay_order.h"

#include "zones/internal/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace oriole::zones {

std::vector<instance_id> relay_order(const relay_context& context) {
    const std::string key = std::to_string(context.generation) + "/" + context.origin.str();
    std::vector<std::pair<std::uint64_t, instance_id>> ranked;
    ranked.reserve(context.members.size());
    for (const auto& member : context.members) {
        const bool first = member == context.origin;
        ranked.emplace_back(first ? 0 : rendezvous_hash(key, member.str()), member);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<instance_id> order;
    order.reserve(ranked.size());
    for (auto& [rank, member] : ranked) {
        order.push_back(std::move(member));
    }
    return order;
}

} // namespace oriole::zones
