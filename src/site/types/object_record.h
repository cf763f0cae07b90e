#pragma once

#include "site/types/object_id.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriole::site {

/// The value of one field: a flag, a number, a duration, a string, or a list of names.
using field_value =
    std::variant<bool, double, std::chrono::milliseconds, std::string, std::vector<std::string>>;

/// A configuration object as a map of fields, for code that handles all kinds in the same way:
/// encoding, merging and comparing. Fields with a default value are always present. Immutable.
class object_record {
public:
    object_record(object_id id, std::map<std::string, field_value> fields)
        : m_id(std::move(id)), m_fields(std::move(fields)) {}

    [[nodiscard]] const object_id& id() const noexcept { return m_id; }

    [[nodiscard]] const std::map<std::string, field_value>& fields() const noexcept {
        return m_fields;
    }

    friend bool operator==(const object_record&, const object_record&) = default;

private:
    object_id m_id;
    std::map<std::string, field_value> m_fields;
};

using object_records = std::map<object_id, object_record>;

/// The value in the notation of the configuration files, for example "10ms" or "[a, b]".
/// Thread-safe.
[[nodiscard]] std::string to_text(const field_value& value);

} // namespace oriole::site
