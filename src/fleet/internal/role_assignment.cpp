#include "fleet/role_assignment.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace oriole::fleet {
namespace {

/// Number of gateways of a service in each zone, which an instance tries one after the other.
constexpr std::size_t gateways_per_zone = 3;
/// Number of a zone's gateways that decide on primary changes: the first gateway and its
/// substitute.
constexpr std::size_t electors_per_zone = 2;
/// In a zone of at most this many instances, each instance owns a fraction of the rates, so that it
/// can continue when it is cut off. In a larger zone, only one instance does, since the fractions
/// would be too small to be useful.
constexpr std::size_t small_zone_instances = 3;
/// Number of store watchers per zone. One of them may fail without delaying updates for the zone.
constexpr std::size_t watchers_per_zone = 2;
/// Number of collectors of usage per zone. If a third of all instances fail at once, one remains in
/// each zone with a probability of 88%.
constexpr std::size_t collectors_per_zone = 3;

using zone_members = std::map<zone_name, std::vector<registered_instance>>;

std::vector<registered_instance> highest_ranked(std::vector<registered_instance> ranked,
                                                std::size_t most) {
    ranked.resize(std::min(ranked.size(), most));
    return ranked;
}

std::string service_subject(const service_name& service) {
    return "gateway " + service.str();
}

std::string group_subject(std::size_t group) {
    return "rates " + std::to_string(group);
}

/// Lists the first-ranked instance of every zone, then the second-ranked ones, up to
/// `electors_per_zone`. Instances of equal rank are sorted by their rank for `subject`.
std::vector<registered_instance>
interleave(const std::vector<std::vector<registered_instance>>& ranked_by_zone,
           std::string_view subject) {
    std::vector<registered_instance> result;
    for (std::size_t rank = 0; rank < electors_per_zone; ++rank) {
        std::vector<registered_instance> level;
        for (const auto& ranked : ranked_by_zone) {
            if (rank < ranked.size()) {
                level.push_back(ranked[rank]);
            }
        }
        for (auto& instance : rank_instances(std::move(level), subject)) {
            result.push_back(std::move(instance));
        }
    }
    return result;
}

class peer_set {
public:
    explicit peer_set(const instance_id& own) : m_own(own) {}

    void add(const std::vector<registered_instance>& group) {
        for (const auto& instance : group) {
            if (instance.id != m_own) {
                m_peers.try_emplace(instance.id, instance);
            }
        }
    }

    [[nodiscard]] std::vector<registered_instance> take() const {
        std::vector<registered_instance> result;
        for (const auto& [id, instance] : m_peers) {
            result.push_back(instance);
        }
        return result;
    }

private:
    instance_id m_own;
    std::map<instance_id, registered_instance> m_peers;
};

/// `live` and `all` have the instances that are alive and those that may be, by zone.
rate_roles assign_rates(const registered_instance& own, const zone_members& live,
                        const zone_members& all, const std::string& subject) {
    rate_roles roles;
    std::vector<registered_instance> own_zone_owners;
    std::vector<registered_instance> remote_owners;
    std::vector<registered_instance> zone_candidates;
    for (const auto& [zone, members] : all) {
        const auto in_zone = live.find(zone);
        const auto live_members =
            in_zone == live.end() ? std::vector<registered_instance>() : in_zone->second;
        const bool small = members.size() <= small_zone_instances;
        const auto owners =
            highest_ranked(rank_instances(members, subject), small ? small_zone_instances : 1);
        for (const auto& owner : owners) {
            const auto owner_count = static_cast<double>(all.size() * owners.size());
            roles.owners.push_back({owner.id, 1 / owner_count});
            if (contains_instance(live_members, owner.id)) {
                (zone == own.zone ? own_zone_owners : remote_owners).push_back(owner);
            }
        }
        if (!live_members.empty()) {
            zone_candidates.push_back(rank_instances(live_members, subject).front());
        }
    }
    const auto coordinator = rank_instances(std::move(zone_candidates), subject).front();
    roles.coordinator = coordinator.id;
    roles.order.push_back(coordinator);
    for (const auto* group : {&own_zone_owners, &remote_owners}) {
        std::copy_if(group->begin(), group->end(), std::back_inserter(roles.order),
                     [&coordinator](const auto& owner) { return owner.id != coordinator.id; });
    }
    return roles;
}

/// Adds the roles of one service, and the report peers that they need.
void assign_service(const registered_instance& own, const zone_members& zones,
                    const service_name& service, primary_leasing leasing, role_assignment& roles,
                    peer_set& report_peers) {
    const auto subject = service_subject(service);
    std::vector<std::vector<registered_instance>> ranked_by_zone;
    for (const auto& [zone, members] : zones) {
        auto ranked = rank_instances(members, subject);
        auto gateways = highest_ranked(ranked, gateways_per_zone);
        if (leasing == primary_leasing::needed) {
            auto& holders = roles.lease_holders[service];
            holders.insert(holders.end(), gateways.begin(), gateways.end());
        }
        if (zone == own.zone) {
            roles.gateways[service] = std::move(gateways);
        }
        ranked_by_zone.push_back(std::move(ranked));
    }
    auto electors = interleave(ranked_by_zone, subject);
    if (contains_instance(electors, own.id)) {
        report_peers.add(electors);
    }
    const bool holds_lease =
        leasing == primary_leasing::needed && contains_instance(roles.gateways[service], own.id);
    for (const auto& elector : electors) {
        // The electors of the other zones confirm this instance's lease.
        if (holds_lease && elector.zone != own.zone) {
            report_peers.add({elector});
            roles.polled_peers.insert(elector.id);
        }
    }
    roles.electors[service] = std::move(electors);
}

} // namespace

int rate_group_of(const account_name& account) {
    return static_cast<int>(machines::rendezvous_score("rate group", account.str()) % rate_groups);
}

bool contains_instance(const std::vector<registered_instance>& group, const instance_id& id) {
    return std::any_of(group.begin(), group.end(),
                       [&id](const registered_instance& instance) { return instance.id == id; });
}

std::vector<registered_instance> rank_instances(std::vector<registered_instance> instances,
                                                std::string_view subject) {
    // Weighted rendezvous hashing: the smallest exponential variate ranks first.
    std::vector<std::pair<double, registered_instance>> scored;
    scored.reserve(instances.size());
    for (auto& instance : instances) {
        const auto hash = machines::rendezvous_score(subject, instance.id.str());
        const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
        const double score = -std::log(uniform) / std::max(instance.capacity, 1);
        scored.emplace_back(score, std::move(instance));
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return std::pair(left.first, left.second.id) < std::pair(right.first, right.second.id);
    });
    std::vector<registered_instance> result;
    result.reserve(scored.size());
    for (auto& [score, instance] : scored) {
        result.push_back(std::move(instance));
    }
    return result;
}

role_assignment assign_roles(const registered_instance& own,
                             const std::vector<registered_instance>& live,
                             const std::set<service_name>& services, primary_leasing leasing,
                             const std::vector<registered_instance>& refused) {
    zone_members zones;
    zones[own.zone].push_back(own);
    for (const auto& instance : live) {
        zones[instance.zone].push_back(instance);
    }
    auto all_zones = zones;
    for (const auto& instance : refused) {
        all_zones[instance.zone].push_back(instance);
    }
    role_assignment roles;
    peer_set report_peers(own.id);
    for (const auto& service : services) {
        assign_service(own, zones, service, leasing, roles, report_peers);
    }
    for (std::size_t group = 0; group < static_cast<std::size_t>(rate_groups); ++group) {
        auto assigned = assign_rates(own, zones, all_zones, group_subject(group));
        if (assigned.coordinator == own.id) {
            report_peers.add(assigned.order);
            for (const auto& owner : assigned.owners) {
                roles.polled_peers.insert(owner.instance);
            }
        }
        roles.rates.push_back(std::move(assigned));
    }
    std::vector<std::vector<registered_instance>> watchers_by_zone;
    for (const auto& [zone, members] : zones) {
        auto ranked = highest_ranked(rank_instances(members, "store watcher"), collectors_per_zone);
        roles.usage_collectors[zone] = ranked;
        ranked = highest_ranked(std::move(ranked), watchers_per_zone);
        watchers_by_zone.push_back(ranked);
        if (zone == own.zone) {
            roles.watchers = std::move(ranked);
        }
    }
    roles.all_watchers = interleave(watchers_by_zone, "usage reporter");
    const auto& polled_peers =
        contains_instance(roles.watchers, own.id) ? roles.all_watchers : roles.watchers;
    report_peers.add(polled_peers);
    for (const auto& instance : polled_peers) {
        roles.polled_peers.insert(instance.id);
    }
    roles.polled_peers.erase(own.id);
    roles.report_peers = report_peers.take();
    return roles;
}

} // namespace oriole::fleet
