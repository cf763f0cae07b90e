#pragma once

#include "base/types/finding.h"
#include "ctl/console.h"

#include <string>

namespace oriole::ctl {

/// Writes findings of the configuration check as text to `err`, one per line, or as a JSON array to
/// `out`.
void write_findings(const findings& found, console& output);

/// Serializes the findings as a JSON array.
[[nodiscard]] std::string findings_json(const findings& found);

} // namespace oriole::ctl
