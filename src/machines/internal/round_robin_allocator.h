#pragma once

#include "machines/connection_allocator.h"

namespace oriole::machines {

/// Assigns connections one at a time to the instances, round robin by rank, until the database's
/// limit is reached. Each instance computes the same assignment and uses its own share.
class round_robin_allocator final : public connection_allocator {
public:
    [[nodiscard]] std::map<server_name, std::uint32_t>
    allocate(const allocation_request& request) const override;
};

} // namespace oriole::machines
