#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"
#include "fleet/types/store_revision.h"

#include <cstdint>

namespace oriole::fleet {

/// The store's entry of a backend server, as the server registered itself.
struct registered_server {
    server_name id;
    service_name service;
    endpoint address;
    zone_name zone;
    bool draining = false;
    bool primary = false; ///< whether the server regards itself as the primary
    /// Start of the server's process, in ms since 1970. A server that was restarted has lost its
    /// connections and prepared statements.
    std::int64_t start_time_ms = 0;
    /// Statements that the server executes at a time; 0 when it is not known.
    int slots = 0;
    /// Number of the server's write of this entry; increases from write to write of one process. 0
    /// when it is not known.
    std::uint64_t sequence = 0;
    store_revision revision; ///< store revision of the entry's last change

    friend bool operator==(const registered_server&, const registered_server&) = default;
};

} // namespace oriole::fleet
