#include "site/internal/reference_checks.h"

#include "site/internal/nearest_name.h"
#include "site/internal/object_schema.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriole::site {
namespace {

/// A reference from a field or list element to another object.
struct reference {
    object_id from;
    std::string field;
    object_id to;
};

std::vector<reference> references_of(const object_record& record) {
    std::vector<reference> found;
    for (const auto& field : schema_of(record.id().kind)) {
        const std::string name(field.name);
        if (!field.is_reference()) {
            continue;
        }
        const auto& value = record.fields().at(name);
        if (field.type == field_type::reference) {
            found.push_back({record.id(), name, {field.target, std::get<std::string>(value)}});
            continue;
        }
        const auto& elements = std::get<std::vector<std::string>>(value);
        for (std::size_t i = 0; i < elements.size(); ++i) {
            const std::string element = name + "[" + std::to_string(i) + "]";
            found.push_back({record.id(), element, {field.target, elements[i]}});
        }
    }
    return found;
}

class reference_checker {
public:
    reference_checker(const located_site& site, const object_records& records, check_report& report)
        : m_site(site), m_records(records), m_report(report) {}

    void check() {
        for (const auto& [id, record] : m_records) {
            for (const auto& reference : references_of(record)) {
                check_reference(reference);
            }
        }
        check_cycles();
    }

private:
    [[nodiscard]] bool exists(const object_id& id) const {
        return m_records.contains(id) || m_site.places().contains(id);
    }

    void check_reference(const reference& value) {
        if (exists(value.to)) {
            return;
        }
        const auto other = same_name_of_other_kind(value.to);
        const std::string wanted(to_string(value.to.kind));
        if (!other) {
            m_report.error(value.from, value.field,
                           "there is no " + wanted + " '" + value.to.name + "'" +
                               suggestion(value.to.name, names_of(value.to.kind)));
            return;
        }
        m_wrong_kind[value.from].push_back({value.from, value.field, *other});
        m_report.error(value.from, value.field,
                       "'" + value.to.name + "' is of kind " + std::string(to_string(other->kind)) +
                           ", but kind " + wanted + " is needed here" +
                           suggestion(value.to.name, names_of(value.to.kind)));
    }

    [[nodiscard]] std::optional<object_id> same_name_of_other_kind(const object_id& id) const {
        for (const auto kind : all_object_kinds) {
            const object_id other{kind, id.name};
            if (exists(other)) {
                return other;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::vector<std::string> names_of(object_kind kind) const {
        std::set<std::string> names;
        for (const auto& [id, record] : m_records) {
            if (id.kind == kind) {
                names.insert(id.name);
            }
        }
        for (const auto& [id, place] : m_site.places()) {
            if (id.kind == kind) {
                names.insert(id.name);
            }
        }
        return {names.begin(), names.end()};
    }

    // Valid references between kinds are acyclic. A cycle therefore contains a reference to an
    // object of the wrong kind, and the search starts from those.
    void check_cycles() {
        for (const auto& [from, wrong] : m_wrong_kind) {
            for (const auto& reference : wrong) {
                std::vector<object_id> path{from};
                if (completes_cycle(reference.to, from, path)) {
                    report_cycle(reference, path);
                }
            }
        }
    }

    bool completes_cycle(const object_id& at, const object_id& start,
                         std::vector<object_id>& path) {
        if (at == start) {
            return true;
        }
        if (std::find(path.begin(), path.end(), at) != path.end()) {
            return false;
        }
        path.push_back(at);
        for (const auto& next : targets_of(at)) {
            if (completes_cycle(next, start, path)) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] std::vector<object_id> targets_of(const object_id& id) const {
        std::vector<object_id> targets;
        const auto record = m_records.find(id);
        if (record != m_records.end()) {
            for (const auto& reference : references_of(record->second)) {
                targets.push_back(reference.to);
            }
        }
        const auto wrong = m_wrong_kind.find(id);
        if (wrong != m_wrong_kind.end()) {
            for (const auto& reference : wrong->second) {
                targets.push_back(reference.to);
            }
        }
        return targets;
    }

    void report_cycle(const reference& value, const std::vector<object_id>& path) {
        std::string text;
        for (const auto& id : path) {
            text += id.str() + " -> ";
        }
        m_report.error(value.from, value.field,
                       "the references form a cycle: " + text + value.from.str() +
                           "; refer to an object of the kind that the field needs");
    }

    const located_site& m_site;
    const object_records& m_records;
    check_report& m_report;
    std::map<object_id, std::vector<reference>> m_wrong_kind;
};

} // namespace

void check_references(const located_site& site, const object_records& records,
                      check_report& report) {
    reference_checker(site, records, report).check();
}

} // namespace oriole::site
