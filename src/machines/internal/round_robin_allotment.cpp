#include "machines/internal/round_robin_allotment.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriole::machines {
namespace {

/// The order in which an instance takes connections: the primary first, since writes go nowhere
/// else, then replicas by distance. Equal replicas are spread by hash over the instances.
std::vector<server_name> preference(const allotment_query& query, const instance& candidate) {
    using key = std::tuple<bool, bool, std::uint64_t, server_name>;
    std::vector<key> keys;
    for (const auto& [server, zone] : query.server_zones) {
        const auto tie = rendezvous_score(candidate.id().str(), server.str());
        keys.emplace_back(query.primary != server, zone != candidate.zone(), tie, server);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<server_name> order;
    order.reserve(keys.size());
    for (auto& entry : keys) {
        order.push_back(std::move(std::get<server_name>(entry)));
    }
    return order;
}

/// With too few connections for all instances, the number that can reach every server.
std::size_t instances_with_connections(std::size_t instances, std::size_t budget,
                                       std::size_t servers) {
    if (instances <= budget) {
        return instances;
    }
    return std::max<std::size_t>(1, budget / servers);
}

} // namespace

std::map<server_name, std::uint32_t>
round_robin_allotment::allot(const allotment_query& query) const {
    std::map<server_name, std::uint32_t> own;
    if (query.server_zones.empty() || query.instances.empty()) {
        return own;
    }
    auto holders = query.instances;
    rank_by_rendezvous(holders, query.subject.name().str());
    const std::size_t budget = query.subject.connections();
    const auto servers = query.server_zones.size();
    holders.resize(instances_with_connections(holders.size(), budget, servers), query.instances[0]);
    const auto self = std::find_if(holders.begin(), holders.end(),
                                   [&](const instance& i) { return i.id() == query.self; });
    if (self == holders.end()) {
        return own;
    }
    // Connection number n goes to the holder of rank n modulo the number of holders, as its
    // (n divided by that number)-th; each holder takes its own in the order of its preference.
    const auto rank = static_cast<std::size_t>(self - holders.begin());
    const auto order = preference(query, *self);
    std::size_t taken = 0;
    for (auto number = rank; number < budget; number += holders.size()) {
        ++own[order[taken++ % order.size()]];
    }
    return own;
}

std::unique_ptr<connection_allotment> make_connection_allotment() {
    return std::make_unique<round_robin_allotment>();
}

} // namespace oriole::machines
