#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace oriole::standins {

/// The path and query parameters of an HTTP request target, percent-decoded.
struct http_target {
    std::string path;
    std::map<std::string, std::string> query;

    friend bool operator==(const http_target&, const http_target&) = default;

    /// The value of a numeric query parameter; `fallback` when it is missing or not a number.
    [[nodiscard]] std::uint64_t number(const std::string& name, std::uint64_t fallback) const;
};

[[nodiscard]] http_target parse_http_target(std::string_view text);

} // namespace oriole::standins
