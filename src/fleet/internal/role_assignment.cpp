#include "fleet/role_assignment.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace oriole::fleet {
namespace {

/// A zone's instances that a caller's instance tries for a service, one after the other.
constexpr std::size_t gateways_per_zone = 3;
/// Of these, how many weigh changes of the primary: the first, and the one that takes its place.
constexpr std::size_t electors_per_zone = 2;
/// In a zone of at most so many instances each one holds a part of the rates, so that it can go on
/// when it is cut off; in a larger one the parts would be too small to be of use.
constexpr std::size_t small_zone = 3;
/// One of them may fail without delay for the others.
constexpr std::size_t watchers_per_zone = 2;

using zone_members = std::map<zone_name, std::vector<listed_instance>>;

std::vector<listed_instance> first_of(std::vector<listed_instance> ranked, std::size_t most) {
    ranked.resize(std::min(ranked.size(), most));
    return ranked;
}

std::string service_subject(const service_name& service) {
    return "gateway " + service.str();
}

std::string group_subject(std::size_t group) {
    return "rates " + std::to_string(group);
}

/// The first of each zone, then the second of each zone, and so on.
std::vector<listed_instance>
interleave(const std::vector<std::vector<listed_instance>>& ranked_by_zone,
           std::string_view subject) {
    std::vector<listed_instance> result;
    for (std::size_t place = 0; place < electors_per_zone; ++place) {
        std::vector<listed_instance> level;
        for (const auto& ranked : ranked_by_zone) {
            if (place < ranked.size()) {
                level.push_back(ranked[place]);
            }
        }
        for (auto& instance : rank_instances(std::move(level), subject)) {
            result.push_back(std::move(instance));
        }
    }
    return result;
}

class partner_set {
public:
    explicit partner_set(const instance_id& own) : m_own(own) {}

    void add(const std::vector<listed_instance>& group) {
        for (const auto& instance : group) {
            if (instance.id != m_own) {
                m_partners.try_emplace(instance.id, instance);
            }
        }
    }

    [[nodiscard]] std::vector<listed_instance> take() const {
        std::vector<listed_instance> result;
        for (const auto& [id, instance] : m_partners) {
            result.push_back(instance);
        }
        return result;
    }

private:
    instance_id m_own;
    std::map<instance_id, listed_instance> m_partners;
};

rate_roles assign_rates(const listed_instance& own, const zone_members& zones,
                        const std::string& subject) {
    rate_roles roles;
    std::vector<listed_instance> near;
    std::vector<listed_instance> far;
    std::vector<listed_instance> first;
    for (const auto& [zone, members] : zones) {
        const bool small = members.size() <= small_zone;
        const auto holders = first_of(rank_instances(members, subject), small ? small_zone : 1);
        for (const auto& holder : holders) {
            const auto parts = static_cast<double>(zones.size() * holders.size());
            roles.holders.push_back({holder.id, 1 / parts});
            (zone == own.zone ? near : far).push_back(holder);
        }
        first.push_back(holders.front());
    }
    const auto keeper = rank_instances(std::move(first), subject).front();
    roles.keeper = keeper.id;
    roles.order.push_back(keeper);
    for (const auto* group : {&near, &far}) {
        std::copy_if(group->begin(), group->end(), std::back_inserter(roles.order),
                     [&keeper](const auto& holder) { return holder.id != keeper.id; });
    }
    return roles;
}

} // namespace

int rate_group_of(const account_name& account) {
    return static_cast<int>(machines::rendezvous_score("rate group", account.str()) % rate_groups);
}

bool holds(const std::vector<listed_instance>& group, const instance_id& id) {
    return std::any_of(group.begin(), group.end(),
                       [&id](const listed_instance& instance) { return instance.id == id; });
}

std::vector<listed_instance> rank_instances(std::vector<listed_instance> instances,
                                            std::string_view subject) {
    // Weighted rendezvous: the smallest of the exponential variates wins.
    std::vector<std::pair<double, listed_instance>> scored;
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
    std::vector<listed_instance> result;
    result.reserve(scored.size());
    for (auto& [score, instance] : scored) {
        result.push_back(std::move(instance));
    }
    return result;
}

role_assignment assign_roles(const listed_instance& own, const std::vector<listed_instance>& live,
                             const std::set<service_name>& services) {
    zone_members zones;
    zones[own.zone].push_back(own);
    for (const auto& instance : live) {
        zones[instance.zone].push_back(instance);
    }
    role_assignment roles;
    partner_set partners(own.id);
    for (const auto& service : services) {
        const auto subject = service_subject(service);
        std::vector<std::vector<listed_instance>> ranked_by_zone;
        for (const auto& [zone, members] : zones) {
            auto ranked = rank_instances(members, subject);
            if (zone == own.zone) {
                roles.gateways[service] = first_of(ranked, gateways_per_zone);
            }
            ranked_by_zone.push_back(std::move(ranked));
        }
        auto electors = interleave(ranked_by_zone, subject);
        if (holds(electors, own.id)) {
            partners.add(electors);
        }
        roles.electors[service] = std::move(electors);
    }
    for (std::size_t group = 0; group < static_cast<std::size_t>(rate_groups); ++group) {
        auto assigned = assign_rates(own, zones, group_subject(group));
        if (assigned.keeper == own.id) {
            partners.add(assigned.order);
            for (const auto& holder : assigned.holders) {
                roles.sources.insert(holder.instance);
            }
        }
        roles.rates.push_back(std::move(assigned));
    }
    std::vector<listed_instance> all_watchers;
    for (const auto& [zone, members] : zones) {
        auto ranked = first_of(rank_instances(members, "store watcher"), watchers_per_zone);
        all_watchers.insert(all_watchers.end(), ranked.begin(), ranked.end());
        if (zone == own.zone) {
            roles.watchers = std::move(ranked);
        }
    }
    const auto& sources = holds(roles.watchers, own.id) ? all_watchers : roles.watchers;
    partners.add(sources);
    for (const auto& instance : sources) {
        roles.sources.insert(instance.id);
    }
    roles.sources.erase(own.id);
    roles.partners = partners.take();
    return roles;
}

} // namespace oriole::fleet
