#pragma once

#include "contracts/key_directory.h"
#include "links/backend_pool.h"
#include "site/types/generation.h"
#include "site/types/site_objects.h"

#include <map>
#include <memory>

namespace oriole::app {

/// One generation of the site with the key directory and connection pools that belong to it. Built
/// by the control thread, then shared read-only with the traffic threads.
struct site_context {
    site::generation generation = 0;
    site::site_objects objects;
    std::shared_ptr<const contracts::key_directory> keys;
    std::map<server_name, std::shared_ptr<links::backend_pool>> pools;
};

/// Whether both the server and its zone are configured as in service. Thread-safe.
[[nodiscard]] bool in_service(const site::site_objects& objects,
                              const machines::backend_server& server);

} // namespace oriole::app
