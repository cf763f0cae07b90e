#include "ctl/internal/apply_command.h"

#include "ctl/internal/change_publisher.h"
#include "ctl/internal/findings_output.h"
#include "ctl/internal/site_files.h"
#include "site/site_records.h"

namespace oriole::ctl {

std::vector<option_schema> apply_command::options() const {
    auto options = change_publisher::options();
    options.push_back({"prune", "", "remove the objects that are not in the files", false});
    return options;
}

exit_code apply_command::run(const arguments& args, console& output) {
    const auto read = read_site_files(m_system, args.positional());
    if (has_errors(read.found)) {
        write_findings(read.found, output);
        return exit_code::findings;
    }
    const bool prune = args.has("prune");
    const auto with_files = [&](const site::site_objects& base) {
        site::site_objects::builder objects(prune ? site::site_objects{} : base);
        for (const auto& [id, record] : site::to_records(read.site.objects())) {
            site::add_record(objects, record);
        }
        return objects.build();
    };
    change_publisher publisher(m_system, args, output);
    publisher.set_source_places(read.site.places());
    return publisher.publish(with_files, prune ? "apply with prune" : "apply");
}

} // namespace oriole::ctl
