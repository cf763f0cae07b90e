#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "entry/fleet_store.h"
#include "machines/types/log_position.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// What an instance tells another one of a service. Ages count back from the message.
struct peer_service_report {
    server_name primary;
    std::optional<clock::duration> answered;        ///< age of the primary's last answer
    std::optional<clock::duration> failing;         ///< how long it has failed
    server_name proved;                             ///< server of the newest proof
    std::optional<machines::log_position> position; ///< of the newest proof
    clock::duration proof_age{};                    ///< never less than the true age
    std::uint64_t order = 0;     ///< revision of the last order to change the primary; 0: not known
    clock::duration order_age{}; ///< of that order, at least

    friend bool operator==(const peer_service_report&, const peer_service_report&) = default;
};

/// The store's revisions that an instance's knowledge stands for.
struct known_revisions {
    std::uint64_t configuration = 0;
    std::uint64_t servers = 0;
    std::uint64_t evacuations = 0;

    friend bool operator==(const known_revisions&, const known_revisions&) = default;
};

/// What instances exchange. The answer to it has the same form, with the objects that the asking
/// instance does not know yet.
struct peer_report {
    instance_id from;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;   ///< grows with each report of one incarnation
    std::set<int> wanted_loans; ///< rate groups whose keeper the sender is
    std::set<int> lent;         ///< in an answer: groups whose part the asking instance has now
    known_revisions known;
    bool isolated = false; ///< the sender's zone is cut off, as far as it knows
    bool leaving = false;  ///< the sender ends now and spends nothing any more
    std::map<service_name, peer_service_report> services;
    std::shared_ptr<const fleet::configuration> configuration;
    std::optional<std::vector<fleet::listed_server>> servers;
    std::optional<std::vector<zone_name>> evacuated;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

} // namespace oriole::entry
