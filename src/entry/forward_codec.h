#pragma once

#include "entry/types/forwarded_statement.h"

#include <string>

namespace oriole::entry {

/// JSON encoding of the messages between an instance and a gateway, which is the instance that runs
/// statements for others. The decoders throw report_unreadable. Thread-safe.
[[nodiscard]] std::string encode_forwarded(const forwarded_statement& forwarded);
[[nodiscard]] forwarded_statement decode_forwarded(const std::string& text);

[[nodiscard]] std::string encode_outcome(const forwarded_outcome& outcome);
[[nodiscard]] forwarded_outcome decode_outcome(const std::string& text);

} // namespace oriole::entry
