#include "contracts/internal/cumulative_usage_meter.h"

#include <algorithm>
#include <utility>

namespace oriole::contracts {

void table_usage_counter::count(const usage_key& key, double weight) {
    auto& amount = m_counted[key];
    amount = amount + usage_amount(1, weight);
}

usage_table table_usage_counter::take() {
    return std::exchange(m_counted, {});
}

cumulative_usage_meter::cumulative_usage_meter(instance_id self) : m_self(std::move(self)) {}

void cumulative_usage_meter::merge(const usage_table& counted) {
    for (const auto& [key, amount] : counted) {
        const bool has_row = m_totals.size() < max_rows || m_totals.contains(key);
        const usage_key row = has_row ? key : usage_key(key.account(), service_name(), key.kind());
        auto& total = m_totals[row];
        total = total + amount;
        m_changed = true;
    }
}

std::optional<usage_record> cumulative_usage_meter::due_record(clock::time_point now) {
    const bool is_early = m_last_attempt && now < *m_last_attempt + write_interval;
    const bool is_unsaved = m_changed || m_stored < m_sequence;
    if (is_early || !is_unsaved) {
        return std::nullopt;
    }
    m_last_attempt = now;
    return final_record();
}

usage_record cumulative_usage_meter::final_record() {
    m_changed = false;
    return {m_self, ++m_sequence, m_totals};
}

void cumulative_usage_meter::stored(std::uint64_t sequence) {
    m_stored = std::max(m_stored, sequence);
}

bool is_newer(const usage_record& next, const usage_record& stored) {
    return next.instance() == stored.instance() && next.sequence() > stored.sequence();
}

} // namespace oriole::contracts
