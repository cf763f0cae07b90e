#pragma once

#include "contracts/types/share_ledger.h"
#include "contracts/types/share_messages.h"
#include "contracts/types/share_plan.h"
#include "links/backend_codec.h"

#include <string>

namespace oriole::links {

/// Names of the methods between instances.
inline constexpr const char* share_ask_method = "share.ask";
inline constexpr const char* share_give_method = "share.give";

/// JSON texts. Decoding ignores unknown fields, so that a later minor version may add some, and
/// throws decode_error for missing, mistyped and impossible values. All are thread-safe.
[[nodiscard]] std::string encode_share_ask(const contracts::share_request& ask);
[[nodiscard]] contracts::share_request decode_share_ask(const std::string& text);

[[nodiscard]] std::string encode_share_give(const contracts::share_response& give);
[[nodiscard]] contracts::share_response decode_share_give(const std::string& text);

[[nodiscard]] std::string encode_share_ledger(const contracts::share_ledger& ledger);
[[nodiscard]] contracts::share_ledger decode_share_ledger(const std::string& text);

[[nodiscard]] std::string encode_share_plan(const contracts::share_plan& plan);
[[nodiscard]] contracts::share_plan decode_share_plan(const std::string& text);

} // namespace oriole::links
