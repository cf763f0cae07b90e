#pragma once

#include "base/types/finding.h"
#include "site/types/object_id.h"
#include "site/types/site_objects.h"

#include <map>
#include <string>
#include <utility>

namespace oriole::site {

/// Source positions of an object and its fields. The elements of a list have the keys "FIELD[0]",
/// "FIELD[1]" and so on.
struct object_place {
    source_place place;
    std::map<std::string, source_place> fields;

    friend bool operator==(const object_place&, const object_place&) = default;
};

using object_places = std::map<object_id, object_place>;

/// A configuration with the source position of each object. `places` also contains objects that
/// were declared with errors and are therefore missing from `objects`, so that references to them
/// are not reported as dangling. Immutable.
class located_site {
public:
    located_site() = default;

    located_site(site_objects objects, object_places places)
        : m_objects(std::move(objects)), m_places(std::move(places)) {}

    [[nodiscard]] const site_objects& objects() const noexcept { return m_objects; }

    [[nodiscard]] const object_places& places() const noexcept { return m_places; }

    friend bool operator==(const located_site&, const located_site&) = default;

private:
    site_objects m_objects;
    object_places m_places;
};

} // namespace oriole::site
