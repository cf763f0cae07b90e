#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace oriole {

/// A position in an input file. Lines and columns are numbered from 1.
struct source_place {
    std::string file;
    std::size_t line = 1;
    std::size_t column = 1;

    friend auto operator<=>(const source_place&, const source_place&) = default;
};

enum class severity { warning, error };

/// A problem in an input file: its position, the object that it concerns, and a message that says
/// what is wrong and how to correct it.
struct finding {
    source_place place;
    severity level = severity::error;
    std::string object; ///< "kind/name", or empty if the object is unknown
    std::string message;

    friend auto operator<=>(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

/// Whether at least one finding is an error. Thread-safe.
[[nodiscard]] bool has_errors(const findings& found) noexcept;

/// Formats a finding as "FILE:LINE:COLUMN: error: object KIND/NAME: MESSAGE". Thread-safe.
[[nodiscard]] std::string to_string(const finding& value);

} // namespace oriole
