#pragma once

#include "contracts/types/share_ledger.h"
#include "contracts/types/share_messages.h"

#include <cstddef>

namespace oriole::contracts {

/// Estimated sizes of the messages in bytes, as compact JSON in a JSON-RPC envelope. They serve to
/// compare share policies; the links module encodes the actual messages.
[[nodiscard]] std::size_t estimated_size(const share_request& request);
[[nodiscard]] std::size_t estimated_size(const share_response& response);
[[nodiscard]] std::size_t estimated_size(const share_ledger& ledger);

} // namespace oriole::contracts
