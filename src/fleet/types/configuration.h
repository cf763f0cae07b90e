#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/read_policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriole::fleet {

/// How statements for one database name are routed.
struct route {
    std::string database;
    service_name service;
    read_policy policy = read_policy::newest;
    clock::duration statement_timeout{};
    clock::duration latency_target{}; ///< target duration of a whole operation
    clock::duration max_age{};        ///< maximum staleness of a read, unless the policy is newest
    bool open_to_all = false;         ///< callers need no account
    /// Urgency of the route's statements under overload; 0 is the most urgent.
    int priority = 0;

    friend bool operator==(const route&, const route&) = default;
};

/// A client account with its keys and its rate limit, which applies to all instances together.
struct account {
    account_name name;
    std::vector<std::string> keys;
    double operations_per_s = 0;
    double burst = 0;

    friend bool operator==(const account&, const account&) = default;
};

/// Limits of a database service, which consists of a primary and its replicas.
struct service_limits {
    int max_connections = 0;      ///< limit per server, for all instances together
    int synchronous_replicas = 0; ///< replicas that store a commit before it is acknowledged

    friend bool operator==(const service_limits&, const service_limits&) = default;
};

/// One version of the operators' configuration. Immutable once decoded.
struct configuration {
    std::int64_t version = 0;
    std::map<std::string, route> routes; ///< routes by database name
    std::map<service_name, service_limits> services;
    std::vector<account> accounts;
    /// Idle time after which an open transaction may be ended; 0 means never.
    clock::duration transaction_idle{};

    /// Names that no message can carry, with their kind. Their routes, services and accounts are
    /// left out.
    std::vector<std::string> unusable_names;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Moves the routes, services and accounts to `unusable_names` whose names cannot be sent to a
/// server. The others stay in force.
void remove_unusable_names(configuration& value);

} // namespace oriole::fleet
