#pragma once

#include "base/types/name.h"
#include "usage/types/ledger_entry.h"
#include "usage/types/usage_messages.h"

#include <map>
#include <vector>

namespace oriole::usage {

/// What one collector has acknowledged of this instance's counts, from which follows what it has to
/// be sent. Not thread-safe; owned by the control thread.
class delivery_record {
public:
    /// The parts of `entries` that the collector has not acknowledged.
    [[nodiscard]] std::vector<ledger_entry>
    unacknowledged(const std::vector<ledger_entry>& entries) const;

    /// Records the collector's answer to `sent`. An entry of which it holds less than was sent up
    /// to then is sent in full the next time. Entries of windows before `first_window` are
    /// forgotten.
    void acknowledge(const std::vector<ledger_entry>& sent, const counts_receipt& receipt,
                     std::int64_t first_window);

private:
    std::map<entry_key, account_counts> m_acknowledged;
};

} // namespace oriole::usage
