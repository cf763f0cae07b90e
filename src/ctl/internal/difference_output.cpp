#include "ctl/internal/difference_output.h"

#include <nlohmann/json.hpp>

namespace oriole::ctl {
namespace {

const char* to_text(site::difference_kind kind) {
    switch (kind) {
    case site::difference_kind::added:
        return "added";
    case site::difference_kind::removed:
        return "removed";
    case site::difference_kind::changed:
        return "changed";
    }
    return "changed";
}

nlohmann::json value_or_null(const std::optional<std::string>& value) {
    return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

void write_json(const std::vector<site::object_difference>& found, console& output) {
    auto list = nlohmann::json::array();
    for (const auto& object : found) {
        auto fields = nlohmann::json::object();
        for (const auto& field : object.fields) {
            fields[field.field] = {{"from", value_or_null(field.from)},
                                   {"to", value_or_null(field.to)}};
        }
        list.push_back({{"object", object.id.str()},
                        {"difference", to_text(object.kind)},
                        {"fields", fields}});
    }
    output.out << list.dump(2) << "\n";
}

} // namespace

void write_differences(const std::vector<site::object_difference>& found, console& output) {
    if (output.json()) {
        write_json(found, output);
        return;
    }
    for (const auto& object : found) {
        output.out << to_text(object.kind) << " " << object.id.str() << "\n";
        for (const auto& field : object.fields) {
            output.out << "    " << field.field << ": " << field.from.value_or("(none)") << " -> "
                       << field.to.value_or("(none)") << "\n";
        }
    }
}

} // namespace oriole::ctl
