#pragma once

#include "base/types/finding.h"
#include "site/internal/object_schema.h"
#include "site/internal/yaml_documents.h"
#include "site/types/located_site.h"
#include "site/types/object_record.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <string>

namespace oriole::site {

/// The object that was read from one YAML document.
struct yaml_object {
    std::optional<object_id> id;         ///< nullopt if the kind or name is invalid
    object_place place;                  ///< positions of the object and its fields
    std::optional<object_record> record; ///< nullopt if the document has findings

    friend bool operator==(const yaml_object&, const yaml_object&) = default;
};

/// Parses the object in one YAML document. Create one reader per document. Not thread-safe.
class yaml_object_reader {
public:
    /// Findings are appended to `found`. Precondition: `found` and `document` outlive the reader.
    yaml_object_reader(std::string file, const yaml_document& document, findings& found);

    [[nodiscard]] yaml_object read();

private:
    struct located_node {
        source_place place;
        YAML::Node node;
    };

    [[nodiscard]] std::optional<YAML::Node> parse();
    void collect_fields(const YAML::Node& mapping);
    void collect_field(const YAML::Node& key, const YAML::Node& value);
    [[nodiscard]] std::optional<std::string> read_header_field(const std::string& field,
                                                               const std::string& example);
    void read_id();
    void read_fields();
    void read_field(const field_schema& field);
    void read_list(const field_schema& field, const located_node& entry);
    [[nodiscard]] std::optional<field_value>
    read_scalar(const field_schema& field, const YAML::Node& node, const std::string& label);
    void report_unknown_fields();
    void report(const source_place& place, const std::string& message);
    [[nodiscard]] std::string object_label() const;
    [[nodiscard]] source_place place_of(const YAML::Mark& mark) const;

    std::string m_file;
    const yaml_document& m_document;
    findings& m_found;
    std::size_t m_reported = 0;
    std::map<std::string, located_node> m_nodes;
    std::map<std::string, field_value> m_values;
    std::string m_kind_text;
    std::string m_name_text;
    yaml_object m_object;
};

} // namespace oriole::site
