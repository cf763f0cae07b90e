#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <cstdint>

namespace oriole::fleet {

/// A backend server as it registered itself.
struct listed_server {
    server_name id;
    service_name service;
    endpoint address;
    zone_name zone;
    bool draining = false;
    bool primary = false;  ///< as the server sees itself
    std::int64_t born = 0; ///< start of its process, in ms since 1970; a new start knows nothing
    std::uint64_t revision = 0; ///< of the store, at the entry's last change

    friend bool operator==(const listed_server&, const listed_server&) = default;
};

} // namespace oriole::fleet
