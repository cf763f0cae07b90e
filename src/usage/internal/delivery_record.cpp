#include "usage/delivery_record.h"

namespace oriole::usage {
namespace {

/// The accounts whose count differs from the acknowledged one.
account_counts changed(const account_counts& counts, const account_counts& acknowledged) {
    account_counts result;
    for (const auto& [account, count] : counts) {
        const auto known = acknowledged.find(account);
        if (known == acknowledged.end() || known->second != count) {
            result.emplace_hint(result.end(), account, count);
        }
    }
    return result;
}

} // namespace

std::vector<ledger_entry>
delivery_record::unacknowledged(const std::vector<ledger_entry>& entries) const {
    std::vector<ledger_entry> result;
    for (const auto& entry : entries) {
        const auto known = m_acknowledged.find(entry.key);
        auto counts =
            known == m_acknowledged.end() ? entry.counts : changed(entry.counts, known->second);
        if (!counts.empty()) {
            result.push_back({entry.key, std::move(counts), entry.total});
        }
    }
    return result;
}

void delivery_record::acknowledge(const std::vector<ledger_entry>& sent,
                                  const counts_receipt& receipt, std::int64_t first_window) {
    std::erase_if(m_acknowledged,
                  [first_window](const auto& known) { return known.first.window < first_window; });
    for (const auto& entry : sent) {
        const auto held = receipt.totals.find(entry.key);
        if (held == receipt.totals.end() || held->second < entry.total) {
            m_acknowledged.erase(entry.key);
            continue;
        }
        for (const auto& [account, count] : entry.counts) {
            m_acknowledged[entry.key][account] = count;
        }
    }
}

} // namespace oriole::usage
