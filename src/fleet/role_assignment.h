#pragma once

#include "base/types/name.h"
#include "fleet/types/listed_instance.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriole::fleet {

/// Accounts are kept in so many groups, so that the instances that keep an account's rate are a
/// bounded number whatever the size of the fleet.
inline constexpr int rate_groups = 16;

/// The group that keeps the account's rate. Thread-safe.
[[nodiscard]] int rate_group_of(const account_name& account);

/// An instance that owns a part of the rates of a group's accounts.
struct rate_holder {
    instance_id instance;
    double part = 0; ///< of the rates; the parts of all holders add up to 1

    friend bool operator==(const rate_holder&, const rate_holder&) = default;
};

/// Who admits operations of a group's accounts.
struct rate_roles {
    instance_id keeper; ///< borrows the holders' parts and admits for the whole fleet
    std::vector<rate_holder> holders;
    /// Whom an instance of the own zone asks, one after the other: the keeper, then the holders,
    /// those of the own zone first.
    std::vector<listed_instance> order;

    friend bool operator==(const rate_roles&, const rate_roles&) = default;
};

/// Which instances work for others, as it follows from the list of live instances alone: instances
/// that see the same list agree without a message. Immutable once computed.
struct role_assignment {
    /// Instances of the own zone through which a service's statements go, the preferred one first.
    std::map<service_name, std::vector<listed_instance>> gateways;
    /// Instances that weigh and order a change of a service's primary, the first to act first.
    std::map<service_name, std::vector<listed_instance>> electors;
    std::vector<rate_roles> rates; ///< by group
    /// Instances of the own zone that watch the store for the zone.
    std::vector<listed_instance> watchers;
    /// The other instances with which the own one exchanges reports.
    std::vector<listed_instance> partners;
    /// Those of them that have to be asked: they may know newer objects of the store, or hold rates
    /// of which this instance is the keeper.
    std::set<instance_id> sources;

    friend bool operator==(const role_assignment&, const role_assignment&) = default;
};

/// Precondition: `live` does not hold `own`. Thread-safe.
[[nodiscard]] role_assignment assign_roles(const listed_instance& own,
                                           const std::vector<listed_instance>& live,
                                           const std::set<service_name>& services);

/// Whether the instance is among `group`.
[[nodiscard]] bool holds(const std::vector<listed_instance>& group, const instance_id& id);

/// The instances by their rank for a subject, the highest first. An instance's chance to rank first
/// is in proportion to its capacity. Thread-safe.
[[nodiscard]] std::vector<listed_instance> rank_instances(std::vector<listed_instance> instances,
                                                          std::string_view subject);

} // namespace oriole::fleet
