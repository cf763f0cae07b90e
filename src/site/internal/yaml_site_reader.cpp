#include "site/internal/yaml_site_reader.h"

#include "site/internal/yaml_object_reader.h"
#include "site/site_records.h"

#include <utility>

namespace oriole::site {
namespace {

/// Collects the objects of all documents and reports names that are defined more than once.
class object_collector {
public:
    void add(const yaml_object& object, findings& found) {
        if (!object.id) {
            return;
        }
        const auto [known, added] = m_places.emplace(*object.id, object.place);
        if (!added) {
            const source_place& first = known->second.place;
            found.push_back({object.place.place, severity::error, object.id->str(),
                             "the name is already used at " + first.file + ":" +
                                 std::to_string(first.line) +
                                 "; names are unique within a kind, choose another one"});
            return;
        }
        if (object.record) {
            add_record(m_objects, *object.record);
        }
    }

    [[nodiscard]] located_site take() { return {m_objects.build(), std::move(m_places)}; }

private:
    site_objects::builder m_objects;
    object_places m_places;
};

} // namespace

read_result yaml_site_reader::read(const std::vector<source_text>& sources) const {
    read_result result;
    object_collector objects;
    for (const auto& source : sources) {
        for (const auto& document : split_documents(source.text)) {
            yaml_object_reader reader(source.file, document, result.found);
            objects.add(reader.read(), result.found);
        }
    }
    result.site = objects.take();
    return result;
}

std::unique_ptr<site_reader> make_yaml_site_reader() {
    return std::make_unique<yaml_site_reader>();
}

} // namespace oriole::site
