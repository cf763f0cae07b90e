#include "ctl/internal/stored_entries_command.h"

#include "base/one_line.h"
#include "ctl/internal/platform_site.h"

#include <nlohmann/json.hpp>

namespace oriole::ctl {

std::vector<option_schema> stored_entries_command::options() const {
    return {platform_option()};
}

exit_code stored_entries_command::run(const arguments& args, console& output) {
    platform_site platform(m_system, args);
    auto list = nlohmann::json::object();
    for (const auto& path : platform.object_store().list(m_name + "/")) {
        const auto stored = platform.object_store().get(path);
        if (!stored) {
            continue; // removed after the paths were listed
        }
        if (output.json()) {
            auto entry = nlohmann::json::parse(stored->value, nullptr, false);
            list[path] = entry.is_discarded() ? nlohmann::json(nullptr) : std::move(entry);
        } else {
            output.out << one_line(path) << "  " << one_line(stored->value) << "\n";
        }
    }
    if (output.json()) {
        output.out << list.dump(2) << "\n";
    }
    return exit_code::clean;
}

} // namespace oriole::ctl
