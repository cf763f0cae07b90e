#pragma once

#include "site/types/object_kind.h"
#include "site/types/object_record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriole::site {

enum class field_type {
    flag,
    number,
    count,
    duration,
    choice,
    endpoint,
    digest,
    reference,
    references
};

/// Describes one field of an object kind. The bounds of durations are in milliseconds.
struct field_schema {
    std::string_view name;
    field_type type = field_type::number;
    bool required = false;
    std::string_view default_text = {};         ///< default value as text; empty if there is none
    double minimum = 0;                         ///< inclusive
    double maximum = 0;                         ///< inclusive
    std::vector<std::string_view> choices = {}; ///< allowed values of field_type::choice
    object_kind target = object_kind::region;   ///< kind of the referenced objects

    [[nodiscard]] bool is_reference() const noexcept {
        return type == field_type::reference || type == field_type::references;
    }
};

/// The value of a field, or a message that says why the input is invalid and what is expected.
struct parsed_value {
    std::optional<field_value> value;
    std::string problem;
};

/// The fields of a kind other than `kind` and `name`. Thread-safe.
[[nodiscard]] const std::vector<field_schema>& schema_of(object_kind kind);

/// Returns nullptr if the kind has no such field. Thread-safe.
[[nodiscard]] const field_schema* find_field(object_kind kind, std::string_view name);

/// Parses a scalar. For field_type::references it parses one element of the list. Thread-safe.
[[nodiscard]] parsed_value parse_scalar(const field_schema& field, std::string_view text);

/// Checks a number against the bounds of its field. The error message contains the bounds with
/// their unit. Thread-safe.
[[nodiscard]] parsed_value bounded_number(const field_schema& field, double value);

/// The default value of a field; nullopt if it has none. Thread-safe.
[[nodiscard]] std::optional<field_value> default_value(const field_schema& field);

/// Returns an error message if `text` is not a valid name, else an empty string. Thread-safe.
[[nodiscard]] std::string name_problem(std::string_view text);

} // namespace oriole::site
