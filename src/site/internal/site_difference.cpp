#include "site/site_difference.h"

#include "site/site_records.h"

#include <map>
#include <set>

namespace oriole::site {
namespace {

using field_map = std::map<std::string, field_value>;

std::optional<std::string> field_text(const field_map& fields, const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::nullopt : std::optional(to_text(found->second));
}

std::vector<field_difference> field_differences(const field_map& from, const field_map& to) {
    std::set<std::string> names;
    for (const auto* fields : {&from, &to}) {
        for (const auto& [name, value] : *fields) {
            names.insert(name);
        }
    }
    std::vector<field_difference> result;
    for (const auto& name : names) {
        auto before = field_text(from, name);
        auto after = field_text(to, name);
        if (before != after) {
            result.push_back({name, std::move(before), std::move(after)});
        }
    }
    return result;
}

const field_map& fields_of(const object_records& records, const object_id& id) {
    static const field_map none;
    const auto found = records.find(id);
    return found == records.end() ? none : found->second.fields();
}

} // namespace

std::vector<object_difference> differences(const site_objects& from, const site_objects& to) {
    const auto before = to_records(from);
    const auto after = to_records(to);
    std::set<object_id> ids;
    for (const auto* records : {&before, &after}) {
        for (const auto& [id, record] : *records) {
            ids.insert(id);
        }
    }
    std::vector<object_difference> result;
    for (const auto& id : ids) {
        auto fields = field_differences(fields_of(before, id), fields_of(after, id));
        if (!before.contains(id)) {
            result.push_back({id, difference_kind::added, std::move(fields)});
        } else if (!after.contains(id)) {
            result.push_back({id, difference_kind::removed, std::move(fields)});
        } else if (!fields.empty()) {
            result.push_back({id, difference_kind::changed, std::move(fields)});
        }
    }
    return result;
}

} // namespace oriole::site
