#pragma once

#include "base/types/endpoint.h"
#include "load/types/recorded_history.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oriole::load {

struct load_account {
    std::string name;
    std::string key;
    double share = 1; ///< weight of the account in the division of the total rate
    account_constraints constraints;

    friend bool operator==(const load_account&, const load_account&) = default;
};

/// The names of the services to which the requests go, by kind.
struct load_services {
    std::string read;
    std::string recent; ///< for reads that accept data up to a stated age
    std::string write;

    friend bool operator==(const load_services&, const load_services&) = default;
};

/// Backend servers to which statements are sent directly, without the proxy, as a baseline.
struct direct_servers {
    endpoint primary;               ///< statement port of the primary
    std::vector<endpoint> replicas; ///< statement ports of the replicas
    std::vector<endpoint> confirm;  ///< control ports of the replicas, which confirm writes
    std::uint64_t term = 1;         ///< term of the primary, sent with each write

    friend bool operator==(const direct_servers&, const direct_servers&) = default;
};

struct load_options {
    std::vector<endpoint> targets; ///< instances of the proxy; empty: load goes to `direct`
    direct_servers direct;
    std::vector<load_account> accounts;
    load_services services;
    double rate = 1000; ///< requests per second of all accounts together
    std::chrono::milliseconds duration{10'000};
    std::uint64_t seed = 1;
    double read_share = 0.9;   ///< fraction of reads among the requests
    std::size_t sessions = 64; ///< of all accounts together
    bool roam = false;         ///< each request of a session goes to a random instance
    std::string profile = "plain";
    std::chrono::milliseconds deadline{5000};
    std::string report_file;  ///< path of the report; empty: standard output
    std::string records_file; ///< path of the file with one line per request; empty: none

    friend bool operator==(const load_options&, const load_options&) = default;
};

} // namespace oriole::load
