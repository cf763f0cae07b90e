#pragma once

#include "contracts/types/share_ledger.h"
#include "contracts/types/share_messages.h"
#include "contracts/types/share_plan.h"
#include "links/backend_codec.h"

#include <string>

namespace oriole::links {

/// Names of the peer methods that exchange shares of rate limits.
inline constexpr const char* share_request_method = "share.ask";
inline constexpr const char* share_response_method = "share.give";

/// JSON text of share messages, ledgers and plans. Decoding ignores unknown fields, so that a later
/// minor version can add fields, and throws decode_error for values that are missing, of the wrong
/// type or out of range. All are thread-safe.
[[nodiscard]] std::string encode_share_request(const contracts::share_request& request);
[[nodiscard]] contracts::share_request decode_share_request(const std::string& text);

[[nodiscard]] std::string encode_share_response(const contracts::share_response& response);
[[nodiscard]] contracts::share_response decode_share_response(const std::string& text);

[[nodiscard]] std::string encode_share_ledger(const contracts::share_ledger& ledger);
[[nodiscard]] contracts::share_ledger decode_share_ledger(const std::string& text);

[[nodiscard]] std::string encode_share_plan(const contracts::share_plan& plan);
[[nodiscard]] contracts::share_plan decode_share_plan(const std::string& text);

} // namespace oriole::links
