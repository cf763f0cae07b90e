#pragma once

#include "app/types/settings.h"
#include "base/types/finding.h"

#include <optional>
#include <string>

namespace oriole::app {

/// Result of reading a settings file. `value` is empty when any finding is an error.
struct settings_result {
    std::optional<settings> value;
    findings found;
};

/// Parses and validates the YAML in `text`. `file` is the file name shown in findings. Does not
/// throw on invalid input.
/// Thread-safe.
[[nodiscard]] settings_result read_settings(const std::string& file, const std::string& text);

} // namespace oriole::app
