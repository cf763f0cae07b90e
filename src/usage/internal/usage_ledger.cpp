#include "usage/usage_ledger.h"

namespace oriole::usage {

void usage_ledger::keep(std::int64_t first, std::int64_t last) {
    m_first = first;
    m_last = last;
    const auto outside = [first, last](const auto& entry) {
        return entry.first.window < first || entry.first.window > last;
    };
    std::erase_if(m_entries, outside);
    std::erase_if(m_entries_by_window, [first, last](const auto& known) {
        return known.first < first || known.first > last;
    });
}

void usage_ledger::add(const entry_key& key, const account_name& account, std::uint64_t count) {
    auto* held = find_or_create(key);
    if (held == nullptr) {
        return;
    }
    const auto known = held->by_account.find(account);
    raise(*held, account, count + (known == held->by_account.end() ? 0 : known->second));
}

std::uint64_t usage_ledger::merge(const ledger_entry& entry) {
    auto* held = find_or_create(entry.key);
    if (held == nullptr) {
        return 0;
    }
    for (const auto& [account, count] : entry.counts) {
        raise(*held, account, count);
    }
    return held->total;
}

known_totals usage_ledger::totals(std::int64_t window) const {
    known_totals result;
    for (const auto& [key, held] : m_entries) {
        if (key.window == window) {
            result.emplace_hint(result.end(), key, held.total);
        }
    }
    return result;
}

std::vector<ledger_entry> usage_ledger::missing_from(const known_totals& known,
                                                     std::int64_t window) const {
    std::vector<ledger_entry> result;
    for (const auto& [key, held] : m_entries) {
        const auto found = known.find(key);
        const bool missing = found == known.end() || found->second < held.total;
        if (key.window == window && missing) {
            result.push_back({key, held.by_account, held.total});
        }
    }
    return result;
}

std::vector<ledger_entry> usage_ledger::entries(const std::set<entry_key>& keys) const {
    std::vector<ledger_entry> result;
    for (const auto& key : keys) {
        const auto known = m_entries.find(key);
        if (known != m_entries.end()) {
            result.push_back({key, known->second.by_account, known->second.total});
        }
    }
    return result;
}

account_counts usage_ledger::sum(std::int64_t window) const {
    account_counts result;
    for (const auto& [key, held] : m_entries) {
        if (key.window != window) {
            continue;
        }
        for (const auto& [account, count] : held.by_account) {
            result[account] += count;
        }
    }
    return result;
}

usage_ledger::counts* usage_ledger::find_or_create(const entry_key& key) {
    if (key.window < m_first || key.window > m_last) {
        return nullptr;
    }
    const auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        return &known->second;
    }
    auto& entries = m_entries_by_window[key.window];
    if (entries >= max_entries_per_window) {
        return nullptr;
    }
    ++entries;
    return &m_entries[key];
}

void usage_ledger::raise(counts& held, const account_name& account, std::uint64_t count) {
    auto known = held.by_account.find(account);
    if (known == held.by_account.end()) {
        if (held.by_account.size() >= max_accounts_per_entry) {
            return;
        }
        known = held.by_account.emplace(account, 0).first;
    }
    if (count > known->second) {
        held.total += count - known->second;
        known->second = count;
    }
}

} // namespace oriole::usage
