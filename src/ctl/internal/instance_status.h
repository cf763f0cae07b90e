#pragma once

#include "ctl/internal/http_object_store.h"
#include "site/types/generation.h"

#include <string>
#include <vector>

namespace oriole::ctl {

/// An instance from the platform's list with its response to a request for /status.
struct instance_status {
    std::string id;
    std::string zone;
    std::string admin;               ///< address and port of the admin endpoint
    bool answered = false;           ///< whether /status returned a JSON object in time
    site::generation generation = 0; ///< configuration in use; 0 if not answered
    std::string details;             ///< the body of /status, JSON text; empty if not answered

    friend bool operator==(const instance_status&, const instance_status&) = default;
};

/// Requests /status from every live instance in the platform's list. Throws store_unreachable when
/// the platform does not return the list.
[[nodiscard]] std::vector<instance_status> read_instance_status(http_client& http,
                                                                http_object_store& platform);

/// The newest generation that an instance uses, according to a few live instances of each zone; 0
/// if none of these answers. Throws store_unreachable when the platform does not return the list.
[[nodiscard]] site::generation newest_generation_in_use(http_client& http,
                                                        http_object_store& platform);

} // namespace oriole::ctl
