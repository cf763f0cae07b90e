#pragma once

#include "site/types/object_id.h"
#include "site/types/site_objects.h"

#include <optional>
#include <string>
#include <vector>

namespace oriole::site {

/// A changed field with its old and new value; nullopt if the object has no such field.
struct field_difference {
    std::string field;
    std::optional<std::string> from;
    std::optional<std::string> to;

    friend bool operator==(const field_difference&, const field_difference&) = default;
};

enum class difference_kind { added, removed, changed };

struct object_difference {
    object_id id;
    difference_kind kind = difference_kind::changed;
    std::vector<field_difference> fields;

    friend bool operator==(const object_difference&, const object_difference&) = default;
};

/// The objects that were added, removed or changed between two configurations, sorted by object id.
/// Thread-safe.
[[nodiscard]] std::vector<object_difference> differences(const site_objects& from,
                                                         const site_objects& to);

} // namespace oriole::site
