#pragma once

#include "contracts/types/audit_entry.h"

#include <chrono>
#include <string>

namespace oriole::links {

/// Formats a wall-clock time as in audit entries: UTC to the second, "2030-01-31T23:59:59Z".
/// Thread-safe.
[[nodiscard]] std::string format_utc_time(std::chrono::system_clock::time_point time);

/// JSON text of the entry: the fields that oriolectl writes plus "object", the path of the changed
/// object. Thread-safe.
[[nodiscard]] std::string encode_audit_entry(const contracts::audit_entry& entry);

} // namespace oriole::links
