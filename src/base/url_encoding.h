#pragma once

#include <string>
#include <string_view>

namespace oriole {

/// Encodes a text as one part of a URL's path or as one value of its query: all bytes but letters,
/// digits and `-._~` become `%NN`. Thread-safe.
[[nodiscard]] std::string encode_url_part(std::string_view text);

/// Encodes a text as a path, whose slashes separate its parts. Thread-safe.
[[nodiscard]] std::string encode_url_path(std::string_view text);

} // namespace oriole
