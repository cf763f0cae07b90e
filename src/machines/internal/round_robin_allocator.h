#pragma once

#include "machines/connection_allocator.h"

namespace oriole::machines {

/// Assigns a database's connections one at a time to the instances, round robin in the order of
/// their rendezvous rank, until the database's limit is reached. Each instance computes the same
/// assignment and uses only the connections that it assigns to itself.
class round_robin_allocator final : public connection_allocator {
public:
    [[nodiscard]] std::map<server_name, std::uint32_t>
    allocate(const allocation_request& request) const override;
};

} // namespace oriole::machines
