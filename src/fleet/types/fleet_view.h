#pragma once

#include "fleet/connection_division.h"
#include "fleet/role_assignment.h"
#include "fleet/types/account_share.h"
#include "fleet/types/configuration.h"
#include "fleet/types/listed_server.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriole::fleet {

/// A server that may be used.
struct usable_server {
    listed_server listed;
    bool primary = false;   ///< believed to lead the service
    bool evacuated = false; ///< nothing more may be sent to it: it drains, or its zone is out
    connection_allotment connections;

    friend bool operator==(const usable_server&, const usable_server&) = default;
};

/// The accounts of the keys.
using key_index = std::unordered_map<std::string, account_name>;

/// What the control thread believes, as the traffic thread acts on it. Immutable once published.
struct fleet_view {
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const key_index> accounts_by_key; ///< null without a configuration
    std::map<service_name, std::vector<usable_server>> servers;
    std::map<account_name, account_share> shares;
    std::shared_ptr<const role_assignment> roles; ///< null before the instances are known
    bool ready = false;                           ///< a configuration and the servers are known

    friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace oriole::fleet
