#pragma once

#include "contracts/share_agent.h"
#include "contracts/types/share_ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace oriole::contracts {

/// Simulates the platform's conditional writes of share ledgers, one ledger per zone.
class simulated_platform {
public:
    struct entry {
        std::uint64_t version = 0;
        std::optional<share_ledger> ledger;
    };

    [[nodiscard]] const entry& get(const zone_name& zone) { return m_entries[zone]; }

    /// Stores the ledger and returns its new version, or none on a version conflict.
    [[nodiscard]] std::optional<std::uint64_t> put(const zone_name& zone,
                                                   const share_ledger_write& write) {
        auto& stored = m_entries[zone];
        if (stored.version != write.expected_version) {
            return std::nullopt;
        }
        stored = {write.expected_version + 1, write.ledger};
        return stored.version;
    }

private:
    std::map<zone_name, entry> m_entries;
};

} // namespace oriole::contracts
