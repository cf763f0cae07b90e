#pragma once

#include "base/types/finding.h"
#include "site/types/located_site.h"

#include <string>

namespace oriole::site {

/// Collects findings about objects and assigns them the objects' source positions. Not thread-safe.
class check_report {
public:
    /// Precondition: `places` outlives the report. Findings about an object without a known
    /// position are reported at line 1 of a file named "site".
    explicit check_report(const object_places& places) : m_places(places) {}

    /// `field` is empty for the object itself, or a field or list element as in object_place.
    void add(severity level, const object_id& id, const std::string& field,
             const std::string& message);

    void error(const object_id& id, const std::string& field, const std::string& message) {
        add(severity::error, id, field, message);
    }

    void warning(const object_id& id, const std::string& field, const std::string& message) {
        add(severity::warning, id, field, message);
    }

    [[nodiscard]] source_place place_of(const object_id& id, const std::string& field) const;

    /// Returns the findings sorted by source position, without duplicates.
    [[nodiscard]] findings take();

private:
    const object_places& m_places;
    findings m_found;
};

} // namespace oriole::site
