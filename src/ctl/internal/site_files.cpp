#include "ctl/internal/site_files.h"

#include "base/errors.h"
#include "ctl/types/arguments.h"

namespace oriole::ctl {

site::read_result read_site_files(environment& system, const std::vector<std::string>& files) {
    if (files.empty()) {
        throw usage_error("name at least one configuration file");
    }
    std::vector<site::source_text> sources;
    findings unreadable;
    for (const auto& file : files) {
        try {
            sources.push_back({file, system.read_file(file)});
        } catch (const error& problem) {
            unreadable.push_back({{file, 1, 1}, severity::error, {}, problem.what()});
        }
    }
    auto result = site::make_yaml_site_reader()->read(sources);
    result.found.insert(result.found.begin(), unreadable.begin(), unreadable.end());
    return result;
}

} // namespace oriole::ctl
