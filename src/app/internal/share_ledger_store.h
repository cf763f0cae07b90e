#pragma once

#include "contracts/share_agent.h"
#include "contracts/types/share_actions.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace oriole::app {

/// Stores the share ledger of this instance's zone at the platform. The ledger records which
/// instance holds which part of each account's rate. Calls do not block; each handler runs exactly
/// once, on the control thread, after the call has returned.
class share_ledger_store {
public:
    /// A stored ledger and its version. Version 0 means that no ledger is stored.
    struct versioned_ledger {
        std::optional<contracts::share_ledger> ledger;
        std::uint64_t version = 0;

        friend bool operator==(const versioned_ledger&, const versioned_ledger&) = default;
    };

    /// Receives nullopt if the ledger could not be read.
    using read_handler = std::function<void(std::optional<versioned_ledger>)>;

    /// Receives the result and, if the ledger was stored, its new version.
    using write_handler = std::function<void(contracts::ledger_write_result, std::uint64_t)>;

    virtual ~share_ledger_store() = default;

    virtual void read(read_handler handler) = 0;

    virtual void write(const contracts::share_ledger_write& write, write_handler handler) = 0;
};

} // namespace oriole::app
