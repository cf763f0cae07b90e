#pragma once

#include "contracts/types/usage.h"
#include "links/backend_codec.h"

#include <string>

namespace oriole::links {

/// JSON text of a usage record, as stored in the platform. Thread-safe.
[[nodiscard]] std::string encode_usage_record(const contracts::usage_record& record);

/// Ignores unknown fields, so that a later minor version can add fields. Throws decode_error.
[[nodiscard]] contracts::usage_record decode_usage_record(const std::string& text);

} // namespace oriole::links
