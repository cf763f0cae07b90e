#pragma once

#include "fleet/connection_quota.h"
#include "fleet/role_assignment.h"
#include "fleet/types/account_share.h"
#include "fleet/types/configuration.h"
#include "fleet/types/registered_server.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriole::fleet {

/// A backend server that traffic may use, with what the control thread knows about it.
struct usable_server {
    registered_server listed; ///< the server's entry in the store
    bool primary = false;     ///< believed to be the primary of its service
    bool evacuated = false;   ///< receives no new work: it is draining or its zone is evacuated
    connection_quota connections;

    friend bool operator==(const usable_server&, const usable_server&) = default;
};

/// Account names by API key.
using key_index = std::unordered_map<std::string, account_name>;

/// Snapshot of the control thread's state, which the traffic thread uses. Immutable once published.
struct fleet_view {
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const key_index> accounts_by_key; ///< null while there is no configuration
    std::map<service_name, std::vector<usable_server>> servers;
    std::map<account_name, account_share> shares;
    std::shared_ptr<const role_assignment> roles; ///< null until the live instances are known
    bool ready = false; ///< whether a configuration and the servers are known

    friend bool operator==(const fleet_view&, const fleet_view&) = default;
};

} // namespace oriole::fleet
