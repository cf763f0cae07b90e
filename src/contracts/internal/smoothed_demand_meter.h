#pragma once

#include "contracts/demand_meter.h"

#include <optional>
#include <unordered_map>

namespace oriole::contracts {

/// Exponential smoothing that follows rising demand faster than falling demand: missing parts cause
/// refusals, while unused parts cost nothing until another instance needs them.
class smoothed_demand_meter final : public demand_meter {
public:
    void add(const account_name& account, double weight) override;

    void advance(clock::time_point now) override;

    [[nodiscard]] double needed(const account_name& account) const override;

    [[nodiscard]] double needed_recently(const account_name& account) const override;

private:
    struct account_demand {
        double interval_weight = 0;
        double per_second = 0;
        double recent_per_second = 0;
        double needed = 0;
    };

    std::unordered_map<account_name, account_demand> m_demands;
    std::optional<clock::time_point> m_last;
};

} // namespace oriole::contracts
