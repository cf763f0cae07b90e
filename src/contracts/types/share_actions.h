#pragma once

#include "base/types/name.h"
#include "contracts/types/share_ledger.h"
#include "contracts/types/share_messages.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace oriole::contracts {

/// A conditional write of the zone's share ledger.
struct share_ledger_write {
    std::uint64_t expected_version = 0; ///< 0 means that no ledger may exist yet
    share_ledger ledger;

    friend bool operator==(const share_ledger_write&, const share_ledger_write&) = default;
};

/// Actions that a share_agent asks its owner to execute. If the agent's shares have changed, the
/// owner must apply them on all traffic threads before it sends messages or writes the ledger.
struct share_actions {
    bool shares_changed = false;
    bool read_ledger = false;
    std::optional<share_ledger_write> write_ledger;
    std::vector<std::pair<instance_id, share_request>> share_requests;
    std::vector<std::pair<instance_id, share_response>> share_responses;

    friend bool operator==(const share_actions&, const share_actions&) = default;
};

} // namespace oriole::contracts
