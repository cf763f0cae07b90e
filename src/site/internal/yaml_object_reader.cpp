#include "site/internal/yaml_object_reader.h"

#include "site/internal/nearest_name.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace oriole::site {
namespace {

std::vector<std::string> kind_names() {
    std::vector<std::string> names;
    names.reserve(all_object_kinds.size());
    for (const auto kind : all_object_kinds) {
        names.emplace_back(to_string(kind));
    }
    return names;
}

std::vector<std::string> field_names(object_kind kind) {
    std::vector<std::string> names{"kind", "name"};
    for (const auto& field : schema_of(kind)) {
        names.emplace_back(field.name);
    }
    return names;
}

std::string type_name(const YAML::Node& node) {
    switch (node.Type()) {
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Scalar:
        return "a single value";
    default:
        return "nothing";
    }
}

std::string expected_form(const field_schema& field) {
    switch (field.type) {
    case field_type::flag:
        return "true or false";
    case field_type::number:
    case field_type::count:
        return "a number";
    case field_type::duration:
        return "a duration such as 500ms, 2s or 5m";
    case field_type::choice:
        return "one of its allowed values";
    case field_type::endpoint:
        return "an IP address and port such as 127.0.0.1:7001";
    case field_type::digest:
        return "64 hexadecimal digits";
    case field_type::reference:
        return "the name of one " + std::string(to_string(field.target));
    case field_type::references:
        return "a list of " + std::string(to_string(field.target)) + " names such as [a, b]";
    }
    return "a value";
}

/// Ignores all events of a YAML parser.
class null_event_handler final : public YAML::EventHandler {
public:
    void OnDocumentStart(const YAML::Mark&) override {}

    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark&, YAML::anchor_t) override {}

    void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}

    void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  const std::string&) override {}

    void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                         YAML::EmitterStyle::value) override {}

    void OnSequenceEnd() override {}

    void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                    YAML::EmitterStyle::value) override {}

    void OnMapEnd() override {}
};

/// Whether the text is exactly one YAML document. YAML::Load ignores text after the first document,
/// such as a stray bracket, and YAML::LoadAll loops forever on some of these inputs.
bool has_one_document(const std::string& text) {
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    null_event_handler handler;
    return parser.HandleNextDocument(handler) && !parser.HandleNextDocument(handler);
}

/// Removes line breaks and other control characters from input that is quoted in a finding, since
/// findings are printed one per line.
std::string replace_control_characters(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
    return text;
}

} // namespace

yaml_object_reader::yaml_object_reader(std::string file, const yaml_document& document,
                                       findings& found)
    : m_file(std::move(file)), m_document(document), m_found(found) {}

yaml_object yaml_object_reader::read() {
    const auto root = parse();
    if (!root) {
        return m_object;
    }
    m_object.place.place = place_of(root->Mark());
    if (!root->IsMap()) {
        report(m_object.place.place, "the document is " + type_name(*root) +
                                         "; write a mapping with kind, name and the kind's fields");
        return m_object;
    }
    collect_fields(*root);
    read_id();
    if (m_object.id) {
        read_fields();
    }
    if (m_object.id && m_reported == 0) {
        m_object.record = object_record(*m_object.id, m_values);
    }
    return m_object;
}

std::optional<YAML::Node> yaml_object_reader::parse() {
    try {
        if (has_one_document(m_document.text)) {
            return YAML::Load(m_document.text);
        }
        report(place_of(YAML::Mark::null_mark()),
               "the text is not a single YAML document; separate objects by a line ---");
    } catch (const YAML::Exception& exception) {
        report(place_of(exception.mark),
               "YAML syntax error: " + exception.msg + "; write one 'field: value' per line");
    }
    return std::nullopt;
}

void yaml_object_reader::collect_fields(const YAML::Node& mapping) {
    // Reads kind and name first, since every finding of the document contains them.
    for (const auto& entry : mapping) {
        const std::string field = entry.first.IsScalar() ? entry.first.Scalar() : std::string{};
        const std::string text = entry.second.IsScalar() ? entry.second.Scalar() : std::string{};
        if (field == "kind" && m_kind_text.empty()) {
            m_kind_text = text;
        }
        if (field == "name" && m_name_text.empty()) {
            m_name_text = text;
        }
    }
    for (const auto& entry : mapping) {
        collect_field(entry.first, entry.second);
    }
}

void yaml_object_reader::collect_field(const YAML::Node& key, const YAML::Node& value) {
    const source_place place = place_of(key.Mark());
    if (!key.IsScalar()) {
        report(place, "a field name is " + type_name(key) + "; write a word");
        return;
    }
    const auto [known, added] = m_nodes.emplace(key.Scalar(), located_node{place, value});
    if (!added) {
        report(place, "the field '" + key.Scalar() + "' is already given at line " +
                          std::to_string(known->second.place.line) +
                          "; keep one of them, and separate objects by a line ---");
        return;
    }
    const bool has_place = value.IsDefined() && !value.IsNull() && !value.Mark().is_null();
    m_object.place.fields.emplace(key.Scalar(), has_place ? place_of(value.Mark()) : place);
}

std::optional<std::string> yaml_object_reader::read_header_field(const std::string& field,
                                                                 const std::string& example) {
    const auto found = m_nodes.find(field);
    if (found == m_nodes.end()) {
        report(m_object.place.place,
               "the field '" + field + "' is missing; add for example '" + example + "'");
        return std::nullopt;
    }
    if (!found->second.node.IsScalar()) {
        report(found->second.place, "the field '" + field + "' is " +
                                        type_name(found->second.node) + "; write for example '" +
                                        example + "'");
        return std::nullopt;
    }
    return found->second.node.Scalar();
}

void yaml_object_reader::read_id() {
    const auto kind_text = read_header_field("kind", "kind: service");
    const auto name = read_header_field("name", "name: track-lookup");
    const auto kind = kind_text ? to_object_kind(*kind_text) : std::nullopt;
    if (kind_text && !kind) {
        report(m_object.place.fields.at("kind"),
               "unknown kind '" + *kind_text + "'" + suggestion(*kind_text, kind_names()));
    }
    const auto problem = name ? name_problem(*name) : std::string{};
    if (!problem.empty()) {
        report(m_object.place.fields.at("name"), problem);
    }
    if (kind && !(name && problem.empty())) {
        // Reads the fields even though the name is invalid, so that all findings of the document
        // are reported together.
        m_object.id = object_id{*kind, {}};
        read_fields();
        m_object.id.reset();
    }
    if (kind && name && problem.empty()) {
        m_object.id = object_id{*kind, *name};
    }
}

void yaml_object_reader::read_fields() {
    for (const auto& field : schema_of(m_object.id->kind)) {
        read_field(field);
    }
    report_unknown_fields();
}

void yaml_object_reader::read_field(const field_schema& field) {
    const std::string name(field.name);
    const auto found = m_nodes.find(name);
    if (found == m_nodes.end()) {
        const auto field_default = default_value(field);
        if (field.required) {
            report(m_object.place.place, "the field '" + name + "' is missing; add " + name +
                                             " with " + expected_form(field));
        } else if (field_default) {
            m_values.emplace(name, *field_default);
        }
        return;
    }
    if (field.type == field_type::references) {
        read_list(field, found->second);
        return;
    }
    const auto value = read_scalar(field, found->second.node, name);
    if (value) {
        m_values.emplace(name, *value);
    }
}

void yaml_object_reader::read_list(const field_schema& field, const located_node& entry) {
    const std::string name(field.name);
    if (!entry.node.IsSequence()) {
        report(m_object.place.fields.at(name), "the field '" + name + "' is " +
                                                   type_name(entry.node) + "; write " +
                                                   expected_form(field));
        return;
    }
    std::vector<std::string> elements;
    for (const auto& node : entry.node) {
        const std::string label = name + "[" + std::to_string(elements.size()) + "]";
        const source_place place = node.IsNull() ? entry.place : place_of(node.Mark());
        m_object.place.fields.emplace(label, place);
        field_schema element = field;
        element.type = field_type::reference;
        const auto value = read_scalar(element, node, label);
        elements.push_back(value ? std::get<std::string>(*value) : std::string{});
        const auto& last = elements.back();
        if (!last.empty() && std::count(elements.begin(), elements.end(), last) > 1) {
            std::string message = "'" + last;
            message.append("' is listed twice in '").append(name).append("'; keep one of them");
            report(place, message);
        }
    }
    m_values.emplace(name, std::move(elements));
}

std::optional<field_value> yaml_object_reader::read_scalar(const field_schema& field,
                                                           const YAML::Node& node,
                                                           const std::string& label) {
    const std::string name(field.name);
    const auto& fields = m_object.place.fields;
    const auto place = fields.contains(label) ? fields.at(label) : fields.at(name);
    if (!node.IsScalar()) {
        report(place, "the field '" + label + "' is " + type_name(node) + "; write " +
                          expected_form(field));
        return std::nullopt;
    }
    auto parsed = parse_scalar(field, node.Scalar());
    if (!parsed.value) {
        report(place, "the field '" + label + "': " + parsed.problem);
    }
    return parsed.value;
}

void yaml_object_reader::report_unknown_fields() {
    for (const auto& [name, entry] : m_nodes) {
        if (name == "kind" || name == "name" || find_field(m_object.id->kind, name) != nullptr) {
            continue;
        }
        report(entry.place, "unknown field '" + name + "' of kind " +
                                std::string(to_string(m_object.id->kind)) +
                                suggestion(name, field_names(m_object.id->kind)));
    }
}

void yaml_object_reader::report(const source_place& place, const std::string& message) {
    ++m_reported;
    m_found.push_back({place, severity::error, replace_control_characters(object_label()),
                       replace_control_characters(message)});
}

std::string yaml_object_reader::object_label() const {
    if (m_kind_text.empty() && m_name_text.empty()) {
        return {};
    }
    return (m_kind_text.empty() ? "?" : m_kind_text) + "/" +
           (m_name_text.empty() ? "?" : m_name_text);
}

source_place yaml_object_reader::place_of(const YAML::Mark& mark) const {
    // yaml-cpp counts lines and columns from 0 and uses -1 for an unknown position. It places an
    // error at the end of the document one line after the last line.
    const auto& text = m_document.text;
    const auto line_count = std::count(text.begin(), text.end(), '\n');
    const auto last = std::max<std::ptrdiff_t>(line_count - 1, 0);
    const auto line = std::clamp<std::ptrdiff_t>(mark.line, 0, last);
    const auto column = static_cast<std::size_t>(std::max(mark.column, 0));
    return {m_file, m_document.first_line + static_cast<std::size_t>(line), column + 1};
}

} // namespace oriole::site
