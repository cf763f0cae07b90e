#pragma once

#include "usage/types/account_counts.h"
#include "usage/types/ledger_entry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace oriole::usage {

/// The counts of the last few windows, of this instance and of those that have sent theirs. Merging
/// an entry again, or an older copy of it, changes nothing. Its size is bounded. Not thread-safe;
/// owned by the control thread.
class usage_ledger {
public:
    /// Keeps the windows from `first` to `last`; entries of others are dropped and not accepted.
    void keep(std::int64_t first, std::int64_t last);

    /// Adds operations to an entry of this instance. Ignored unless the entry's window is kept.
    void add(const entry_key& key, const account_name& account, std::uint64_t count);

    /// Takes the larger count of each account. Returns the sum that is then held of the entry; 0
    /// when its window is not kept or the ledger is full.
    std::uint64_t merge(const ledger_entry& entry);

    /// What is held of the entries of the window.
    [[nodiscard]] known_totals totals(std::int64_t window) const;

    /// The entries of the window of which more is held than `known` states.
    [[nodiscard]] std::vector<ledger_entry> missing_from(const known_totals& known,
                                                         std::int64_t window) const;

    /// The entries with these keys, as far as they are held.
    [[nodiscard]] std::vector<ledger_entry> entries(const std::set<entry_key>& keys) const;

    /// The counts of all processes in the window.
    [[nodiscard]] account_counts sum(std::int64_t window) const;

    /// Largest number of entries of one window, and of accounts in one entry.
    static constexpr std::size_t max_entries_per_window = 2048;
    static constexpr std::size_t max_accounts_per_entry = 4096;

private:
    struct counts {
        account_counts by_account;
        std::uint64_t total = 0;
    };

    /// The entry's counts, created if necessary; null when it cannot be kept.
    [[nodiscard]] counts* find_or_create(const entry_key& key);
    static void raise(counts& held, const account_name& account, std::uint64_t count);

    std::int64_t m_first = 0;
    std::int64_t m_last = -1;
    std::map<entry_key, counts> m_entries;
    std::map<std::int64_t, std::size_t> m_entries_by_window;
};

} // namespace oriole::usage
