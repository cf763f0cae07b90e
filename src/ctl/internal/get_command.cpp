#include "ctl/internal/get_command.h"

#include "ctl/internal/platform_site.h"
#include "site/site_codec.h"
#include "site/site_records.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace oriole::ctl {
namespace {

/// The objects to print: all (no kind), those of one kind (empty name), or one.
struct selection {
    std::optional<site::object_kind> kind;
    std::string name;

    [[nodiscard]] bool has(const site::object_id& id) const {
        return (!kind || *kind == id.kind) && (name.empty() || name == id.name);
    }
};

selection parse_selection(const std::vector<std::string>& words) {
    if (words.size() > 1) {
        throw usage_error("expected at most one KIND or KIND/NAME, got " +
                          std::to_string(words.size()) + " arguments");
    }
    if (words.empty()) {
        return {};
    }
    const auto slash = words.front().find('/');
    const std::string kind_text = words.front().substr(0, slash);
    const auto kind = site::to_object_kind(kind_text);
    if (!kind) {
        throw usage_error("unknown kind '" + kind_text + "'; an example of a kind is service");
    }
    return {kind, slash == std::string::npos ? "" : words.front().substr(slash + 1)};
}

void write_yaml(const site::object_record& record, std::ostream& out) {
    out << "---\nkind: " << to_string(record.id().kind) << "\nname: " << record.id().name << "\n";
    for (const auto& [field, value] : record.fields()) {
        out << field << ": " << site::to_text(value) << "\n";
    }
}

} // namespace

std::vector<option_schema> get_command::options() const {
    return {platform_option(),
            {"generation", "N", "read this generation rather than the newest", false}};
}

exit_code get_command::run(const arguments& args, console& output) {
    const auto selected = parse_selection(args.positional());
    platform_site platform(m_system, args);
    const auto objects = args.has("generation")
                             ? platform.objects_at(parse_generation(args.value("generation")))
                             : platform.newest_objects();
    auto list = nlohmann::json::array();
    for (const auto& [id, record] : site::to_records(objects)) {
        if (!selected.has(id)) {
            continue;
        }
        if (output.json()) {
            list.push_back(nlohmann::json::parse(site::encode_object(record)));
        } else {
            write_yaml(record, output.out);
        }
    }
    if (output.json()) {
        output.out << list.dump(2) << "\n";
    }
    return exit_code::clean;
}

} // namespace oriole::ctl
