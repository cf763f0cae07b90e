#include "ctl/internal/diff_command.h"

#include "ctl/internal/difference_output.h"
#include "ctl/internal/findings_output.h"
#include "ctl/internal/platform_site.h"
#include "ctl/internal/site_files.h"
#include "site/site_records.h"

namespace oriole::ctl {

std::vector<option_schema> diff_command::options() const {
    return {platform_option(), {"prune", "", "also show objects that are not in the files", false}};
}

exit_code diff_command::run(const arguments& args, console& output) {
    const auto read = read_site_files(m_system, args.positional());
    if (has_errors(read.found)) {
        write_findings(read.found, output);
        return exit_code::findings;
    }
    platform_site platform(m_system, args);
    const auto base = platform.newest_objects();
    site::site_objects::builder objects(args.has("prune") ? site::site_objects{} : base);
    for (const auto& [id, record] : site::to_records(read.site.objects())) {
        site::add_record(objects, record);
    }
    write_differences(site::differences(base, objects.build()), output);
    return exit_code::clean;
}

} // namespace oriole::ctl
