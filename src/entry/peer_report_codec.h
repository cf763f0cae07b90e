#pragma once

#include "base/errors.h"
#include "entry/types/peer_report.h"

#include <string>

namespace oriole::entry {

/// The text cannot be parsed as the expected message.
class report_unreadable : public error {
public:
    using error::error;
};

/// Encodes the report as JSON. Thread-safe.
[[nodiscard]] std::string encode_report(const peer_report& report);

/// Decodes a report from JSON. Throws report_unreadable. Thread-safe.
[[nodiscard]] peer_report decode_report(const std::string& text);

} // namespace oriole::entry
