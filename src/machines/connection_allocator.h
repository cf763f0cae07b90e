#pragma once

#include "machines/types/database.h"
#include "machines/types/instance.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::machines {

/// Input for dividing a database's statement connections among instances.
struct allocation_request {
    database subject;
    std::optional<server_name> primary;
    std::map<server_name, zone_name> server_zones; ///< zone of each server that is in service
    std::vector<instance> instances;               ///< live instances, including `self`
    instance_id self;                              ///< the instance whose share is computed
};

/// Divides a database's connection limit among instances and servers. The shares of all instances
/// that use the same instance list never add up to more than the limit. Thread-safe.
class connection_allocator {
public:
    virtual ~connection_allocator() = default;

    /// Statement connections that `self` may open to each server; servers with none are omitted.
    /// Every instance gets one to the primary if the limit allows it. With more instances than
    /// connections, only the instances of the lowest rendezvous ranks get connections, one to each
    /// server as far as the limit allows; the other instances forward their requests to them.
    [[nodiscard]] virtual std::map<server_name, std::uint32_t>
    allocate(const allocation_request& request) const = 0;
};

[[nodiscard]] std::unique_ptr<connection_allocator> make_connection_allocator();

} // namespace oriole::machines
