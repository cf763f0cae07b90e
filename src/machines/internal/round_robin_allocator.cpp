#include "machines/internal/round_robin_allocator.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriole::machines {
namespace {

/// Order in which an instance distributes its connections over the servers: the primary first,
/// since only it accepts writes, then the replicas of the instance's own zone, then the others. A
/// hash orders equal replicas differently for each instance.
std::vector<server_name> server_preference(const allocation_request& request,
                                           const instance& candidate) {
    using key = std::tuple<bool, bool, std::uint64_t, server_name>;
    std::vector<key> keys;
    for (const auto& [server, zone] : request.server_zones) {
        const auto tie_break = rendezvous_score(candidate.id().str(), server.str());
        keys.emplace_back(request.primary != server, zone != candidate.zone(), tie_break, server);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<server_name> order;
    order.reserve(keys.size());
    for (auto& entry : keys) {
        order.push_back(std::move(std::get<server_name>(entry)));
    }
    return order;
}

/// Number of instances that get connections: all if there are enough connections, otherwise as many
/// as can have one to every server.
std::size_t instances_with_connections(std::size_t instances, std::size_t limit,
                                       std::size_t servers) {
    if (instances <= limit) {
        return instances;
    }
    return std::max<std::size_t>(1, limit / servers);
}

} // namespace

std::map<server_name, std::uint32_t>
round_robin_allocator::allocate(const allocation_request& request) const {
    std::map<server_name, std::uint32_t> own;
    if (request.server_zones.empty() || request.instances.empty()) {
        return own;
    }
    auto recipients = request.instances;
    rank_by_rendezvous(recipients, request.subject.name().str());
    const std::size_t limit = request.subject.connections();
    const auto servers = request.server_zones.size();
    recipients.resize(instances_with_connections(recipients.size(), limit, servers),
                      request.instances[0]);
    const auto self = std::find_if(recipients.begin(), recipients.end(),
                                   [&](const instance& i) { return i.id() == request.self; });
    if (self == recipients.end()) {
        return own;
    }
    // Connection n belongs to the instance of rank n modulo the number of instances with
    // connections. Each instance distributes its connections in its order of preference.
    const auto rank = static_cast<std::size_t>(self - recipients.begin());
    const auto order = server_preference(request, *self);
    std::size_t taken = 0;
    for (auto number = rank; number < limit; number += recipients.size()) {
        ++own[order[taken++ % order.size()]];
    }
    return own;
}

std::unique_ptr<connection_allocator> make_connection_allocator() {
    return std::make_unique<round_robin_allocator>();
}

} // namespace oriole::machines
