#include "ctl/internal/findings_output.h"

#include <nlohmann/json.hpp>

namespace oriole::ctl {

std::string findings_json(const findings& found) {
    auto list = nlohmann::json::array();
    for (const auto& entry : found) {
        list.push_back({{"file", entry.place.file},
                        {"line", entry.place.line},
                        {"column", entry.place.column},
                        {"severity", entry.level == severity::error ? "error" : "warning"},
                        {"object", entry.object},
                        {"message", entry.message}});
    }
    // Messages may quote file contents that are not valid UTF-8; dump() would throw on them, so it
    // is told to insert replacement characters.
    return list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

void write_findings(const findings& found, console& output) {
    if (output.json()) {
        output.out << findings_json(found) << "\n";
        return;
    }
    for (const auto& entry : found) {
        output.err << to_string(entry) << "\n";
    }
}

} // namespace oriole::ctl
