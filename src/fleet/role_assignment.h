#pragma once

#include "base/types/name.h"
#include "fleet/types/registered_instance.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriole::fleet {

/// Number of groups into which the accounts are divided for rate limiting. It bounds the number of
/// instances that coordinate rates, whatever the size of the fleet.
inline constexpr int rate_groups = 16;

/// The rate group of the account, from 0 to `rate_groups` - 1. Thread-safe.
[[nodiscard]] int rate_group_of(const account_name& account);

/// An instance that owns a fraction of the rate limits of a rate group's accounts.
struct rate_owner {
    instance_id instance;
    double fraction = 0; ///< fraction of the rates; those of all owners add up to 1

    friend bool operator==(const rate_owner&, const rate_owner&) = default;
};

/// The instances that admit operations of a rate group's accounts.
struct rate_roles {
    instance_id coordinator; ///< borrows the owners' fractions and admits for the whole fleet
    std::vector<rate_owner> owners;
    /// The instances that an instance of the own zone asks for admission, one after the other: the
    /// coordinator, then the owners in the own zone, then the owners in other zones.
    std::vector<registered_instance> order;

    friend bool operator==(const rate_roles&, const rate_roles&) = default;
};

/// The roles of the instances. They are computed from the list of live instances alone, so
/// instances that see the same list agree without exchanging messages. Immutable once computed.
struct role_assignment {
    /// Instances of the own zone that run a service's statements for the zone, preferred one first.
    std::map<service_name, std::vector<registered_instance>> gateways;
    /// The gateways of all zones by service: the instances that may hold a lease on the service's
    /// primary.
    std::map<service_name, std::vector<registered_instance>> lease_holders;
    /// Instances that decide on promotions of a service's servers, in the order of their turns.
    std::map<service_name, std::vector<registered_instance>> electors;
    std::vector<rate_roles> rates; ///< roles by rate group
    /// Instances of the own zone that watch the store on behalf of the zone.
    std::vector<registered_instance> watchers;
    /// The watchers of all zones, those that rank first in their zone before the others.
    std::vector<registered_instance> all_watchers;
    /// Instances of each zone that collect the counts of usage, preferred one first: the watchers
    /// and a further one.
    std::map<zone_name, std::vector<registered_instance>> usage_collectors;
    /// The other instances with which the own instance exchanges reports.
    std::vector<registered_instance> report_peers;
    /// The report peers that the own instance has to poll: they may know newer objects of the
    /// store, or own fractions of rates that the own instance coordinates.
    std::set<instance_id> polled_peers;

    friend bool operator==(const role_assignment&, const role_assignment&) = default;
};

/// Whether the gateways need leases on the primaries.
enum class primary_leasing {
    not_needed, ///< a promotion ends the previous primary's lead at once
    needed      ///< a replaced primary keeps accepting writes until it is told to step down
};

/// Computes the roles as seen by `own`. `live` lists the other live instances, and `refused` those
/// that may be cut off rather than have ended: they get no roles, but keep their fractions of the
/// rates, which they use as long as they run. Preconditions: the lists have no instance in common
/// and do not contain `own`. Thread-safe.
[[nodiscard]] role_assignment assign_roles(const registered_instance& own,
                                           const std::vector<registered_instance>& live,
                                           const std::set<service_name>& services,
                                           primary_leasing leasing,
                                           const std::vector<registered_instance>& refused = {});

/// Whether `group` contains the instance.
[[nodiscard]] bool contains_instance(const std::vector<registered_instance>& group,
                                     const instance_id& id);

/// Sorts the instances by their rank for `subject`, highest rank first. The probability that an
/// instance ranks first is proportional to its capacity. Thread-safe.
[[nodiscard]] std::vector<registered_instance>
rank_instances(std::vector<registered_instance> instances, std::string_view subject);

} // namespace oriole::fleet
