#pragma once

#include "site/types/object_kind.h"

#include <compare>
#include <string>

namespace oriole::site {

/// Identifies a configuration object by kind and name. Names are unique within a kind.
struct object_id {
    object_kind kind = object_kind::region;
    std::string name;

    /// The identifier as "KIND/NAME".
    [[nodiscard]] std::string str() const { return std::string(to_string(kind)) + "/" + name; }

    friend auto operator<=>(const object_id&, const object_id&) = default;
};

} // namespace oriole::site
