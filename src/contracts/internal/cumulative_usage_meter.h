#pragma once

#include "contracts/usage_meter.h"

namespace oriole::contracts {

class table_usage_counter final : public usage_counter {
public:
    void count(const usage_key& key, double weight) override;

    [[nodiscard]] usage_table take() override;

private:
    usage_table m_counted;
};

class cumulative_usage_meter final : public usage_meter {
public:
    explicit cumulative_usage_meter(instance_id self);

    void merge(const usage_table& counted) override;

    [[nodiscard]] std::optional<usage_record> due_record(clock::time_point now) override;

    [[nodiscard]] usage_record final_record() override;

    void stored(std::uint64_t sequence) override;

private:
    instance_id m_self;
    usage_table m_totals;
    std::uint64_t m_sequence = 0; ///< sequence of the latest record created
    std::uint64_t m_stored = 0;   ///< sequence of the latest record that the platform stored
    bool m_changed = false;       ///< whether counts were added since the latest record
    std::optional<clock::time_point> m_last_attempt;
};

} // namespace oriole::contracts
