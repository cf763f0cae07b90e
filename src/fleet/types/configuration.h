#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/read_policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriole::fleet {

/// Where the statements of one database name go.
struct route {
    std::string database;
    service_name service;
    read_policy policy = read_policy::newest;
    clock::duration statement_timeout{};
    clock::duration latency_target{}; ///< of a whole operation
    clock::duration max_age{};        ///< of what a read may miss, unless the policy is newest
    bool open_to_all = false;

    friend bool operator==(const route&, const route&) = default;
};

/// A client account with its keys and its rate over all instances.
struct account {
    account_name name;
    std::vector<std::string> keys;
    double operations_per_s = 0;
    double burst = 0;

    friend bool operator==(const account&, const account&) = default;
};

/// A database service: a primary and its replicas.
struct service_limits {
    int max_connections = 0;      ///< a server's, from all instances together
    int synchronous_replicas = 0; ///< that hold a commit before it is acknowledged

    friend bool operator==(const service_limits&, const service_limits&) = default;
};

/// One version of the operators' configuration. Immutable once decoded.
struct configuration {
    std::int64_t version = 0;
    std::map<std::string, route> routes; ///< by database
    std::map<service_name, service_limits> services;
    std::vector<account> accounts;
    clock::duration transaction_idle{}; ///< after which an idle transaction may be ended; 0: never

    friend bool operator==(const configuration&, const configuration&) = default;
};

} // namespace oriole::fleet
