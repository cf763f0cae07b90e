#pragma once

#include "app/internal/control_reports.h"
#include "contracts/contracts_module.h"

#include <map>
#include <memory>
#include <utility>

namespace oriole::app {

/// Counts the requests of one traffic thread between two reports to the control thread. Used on
/// that thread only.
class request_accounting {
public:
    /// Counts a request that reached the rate check of its account, admitted or not.
    void add_demand(const account_name& account, double weight) { m_demand[account] += weight; }

    /// Counts a request that completed.
    void add_usage(const contracts::usage_key& key, double weight) { m_usage->count(key, weight); }

    /// Returns the counts since the last call and resets them.
    [[nodiscard]] traffic_counts take() { return {std::exchange(m_demand, {}), m_usage->take()}; }

private:
    std::map<account_name, double> m_demand;
    std::unique_ptr<contracts::usage_counter> m_usage =
        contracts::contracts_module::make_usage_counter();
};

} // namespace oriole::app
