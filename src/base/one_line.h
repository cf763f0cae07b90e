#pragma once

#include <string>
#include <string_view>

namespace oriole {

/// The text with each control character as `\xNN`, so that it is one line of output and does not
/// control a terminal. Thread-safe.
[[nodiscard]] std::string one_line(std::string_view text);

} // namespace oriole
