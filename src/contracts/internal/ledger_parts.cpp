#include "contracts/internal/ledger_parts.h"

#include <algorithm>

namespace oriole::contracts {

share_parts get(const account_parts& parts, const account_name& account) {
    const auto found = parts.find(account);
    return found == parts.end() ? 0 : found->second;
}

share_parts assignable_slots(const share_ledger& ledger) {
    const auto waiting = std::count_if(ledger.holders().begin(), ledger.holders().end(),
                                       [](const auto& entry) { return !entry.second.slot(); });
    return std::min<share_parts>(waiting, ledger.free_slots());
}

} // namespace oriole::contracts
