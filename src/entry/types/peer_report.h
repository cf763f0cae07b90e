#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "entry/fleet_store.h"
#include "fleet/types/configuration_rank.h"
#include "machines/types/log_position.h"
#include "usage/types/true_time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// What one instance reports to another about a service. Ages are relative to the time when the
/// report was made.
struct peer_service_report {
    server_name primary;
    std::optional<clock::duration> answer_age;      ///< time since the primary's last answer
    std::optional<clock::duration> failing_for;     ///< how long the primary has been failing
    server_name proven_server;                      ///< server that gave the newest position proof
    std::optional<machines::log_position> position; ///< log position of the newest position proof
    /// Age of the position proof, rounded up so that it is never understated.
    clock::duration proof_age{};
    std::uint64_t order_fence = 0; ///< fencing token of the last promotion order; 0 when unknown
    clock::duration order_age{};   ///< lower bound of the age of that promotion order

    friend bool operator==(const peer_service_report&, const peer_service_report&) = default;
};

/// The newest promotion order of a service that an instance knows.
struct reported_order {
    std::uint64_t fence = 0; ///< fencing token of the order
    server_name target;

    friend bool operator==(const reported_order&, const reported_order&) = default;
};

/// An evacuation, and the store revision of its entry.
struct reported_evacuation {
    zone_name zone;
    fleet::store_revision revision;

    friend bool operator==(const reported_evacuation&, const reported_evacuation&) = default;
};

/// The store's revisions up to which an instance knows each kind of object.
struct known_revisions {
    fleet::configuration_rank configuration;
    fleet::store_revision servers;
    fleet::store_revision evacuations;

    friend bool operator==(const known_revisions&, const known_revisions&) = default;
};

/// The message that instances exchange. The answer to a report is a report too, and includes the
/// objects that the requesting instance does not have yet.
struct peer_report {
    instance_id from;
    std::uint64_t incarnation = 0;
    /// Increases with each report of the same incarnation (process start).
    std::uint64_t sequence = 0;
    /// Groups of accounts whose operations the sender admits and whose rate shares it asks the
    /// receiver to lend.
    std::set<int> wanted_loans;
    /// In an answer: groups whose rate shares are now lent to the requesting instance.
    std::set<int> granted_loans;
    known_revisions revisions;
    /// False in a report of a version of the program that knows no eras. Its revisions are taken to
    /// be of the receiver's era, as long as the store was not restored.
    bool states_eras = true;
    bool isolated = false; ///< the sender considers its zone cut off from the others
    bool leaving = false;  ///< the sender is shutting down and admits no more operations
    /// The sender has read the promotion orders from the store since its start.
    bool knows_orders = false;
    /// In addition, the sender has recently heard from a majority of the zones, so no newer order
    /// than those in `orders` has been announced to a majority before that.
    bool confirms_orders = false;
    /// Where leases on the primaries are needed: the newest known promotion orders.
    std::map<service_name, reported_order> orders;
    std::map<service_name, peer_service_report> services;
    std::shared_ptr<const fleet::configuration> configuration;
    std::optional<std::vector<fleet::registered_server>> servers;
    std::optional<std::vector<reported_evacuation>> evacuated;
    /// The sender's wall clock, where usage is reported.
    std::optional<usage::true_time> wall_time;
    /// Names in a received report that no message can carry. Their servers, and the routes,
    /// services and accounts of the configuration, are left out.
    std::vector<std::string> unusable_names;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

} // namespace oriole::entry
