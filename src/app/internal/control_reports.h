#pragma once

#include "base/types/name.h"
#include "contracts/types/usage.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace oriole::app {

/// Requests that a traffic thread has counted since its previous report.
struct traffic_counts {
    std::map<account_name, double> demand; ///< weight of all requests, admitted or not
    contracts::usage_table usage;          ///< weight of the completed requests

    [[nodiscard]] bool empty() const noexcept { return demand.empty() && usage.empty(); }

    friend bool operator==(const traffic_counts&, const traffic_counts&) = default;
};

/// Receives reports of the traffic threads for the control thread. Thread-safe; calls do not
/// block.
class control_reports {
public:
    virtual ~control_reports() = default;

    /// A server of `database` answered with a higher term than this instance had seen.
    virtual void newer_term_seen(const database_name& database, std::uint64_t term) = 0;

    virtual void requests_counted(std::size_t thread, traffic_counts counts) = 0;
};

} // namespace oriole::app
