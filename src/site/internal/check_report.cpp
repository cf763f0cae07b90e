#include "site/internal/check_report.h"

#include <algorithm>
#include <utility>

namespace oriole::site {

void check_report::add(severity level, const object_id& id, const std::string& field,
                       const std::string& message) {
    m_found.push_back({place_of(id, field), level, id.str(), message});
}

source_place check_report::place_of(const object_id& id, const std::string& field) const {
    const auto object = m_places.find(id);
    if (object == m_places.end()) {
        return {"site", 1, 1};
    }
    const auto& fields = object->second.fields;
    const auto found = fields.find(field);
    return found == fields.end() ? object->second.place : found->second;
}

findings check_report::take() {
    std::sort(m_found.begin(), m_found.end());
    m_found.erase(std::unique(m_found.begin(), m_found.end()), m_found.end());
    return std::move(m_found);
}

} // namespace oriole::site
