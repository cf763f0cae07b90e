#pragma once

#include "contracts/types/session_token.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriole::links {

/// Text form of a session token: "1;DATABASE:TERM.OFFSET,...", where 1 is the format version. The
/// token is not signed: a caller that alters it can only cause its own reads to wait or be refused.
/// Thread-safe.
[[nodiscard]] std::string encode_session_token(const contracts::session_token& token);

/// Returns nullopt when the text is not a valid token.
[[nodiscard]] std::optional<contracts::session_token> decode_session_token(std::string_view text);

} // namespace oriole::links
