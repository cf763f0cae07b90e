#pragma once

#include "contracts/types/share_ledger.h"

namespace oriole::contracts {

/// Minimum size of a transfer to another zone: this many parts and 1/min_transfer_divisor of the
/// zone's loans. Smaller transfers cost more than they help.
inline constexpr share_parts min_transfer_parts = 2'000;
inline constexpr share_parts min_transfer_divisor = 25;

/// The account's parts; 0 when there are none. Thread-safe.
[[nodiscard]] share_parts get(const account_parts& parts, const account_name& account);

/// Number of holders without a slot that can get one of the free slots. Thread-safe.
[[nodiscard]] share_parts assignable_slots(const share_ledger& ledger);

} // namespace oriole::contracts
