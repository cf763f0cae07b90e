#include "ctl/internal/service_state_command.h"

#include "ctl/internal/change_publisher.h"
#include "site/site_records.h"

namespace oriole::ctl {
namespace {

site::site_objects with_state(const site::site_objects& base, const site::object_id& id,
                              const std::string& state) {
    auto records = site::to_records(base);
    const auto found = records.find(id);
    if (found == records.end()) {
        throw error("there is no " + id.str() + "; 'oriolectl get " +
                    std::string(to_string(id.kind)) + "' lists the known ones");
    }
    auto fields = found->second.fields();
    fields["state"] = state;
    found->second = site::object_record(id, std::move(fields));
    return site::to_site_objects(records);
}

} // namespace

std::vector<option_schema> service_state_command::options() const {
    return change_publisher::options();
}

exit_code service_state_command::run(const arguments& args, console& output) {
    const auto& words = args.positional();
    if (words.size() != 2 || (words[0] != "out" && words[0] != "in")) {
        throw usage_error("write '" + m_name + " out NAME' or '" + m_name + " in NAME'");
    }
    const site::object_id id{m_kind, words[1]};
    return change_publisher(m_system, args, output)
        .publish([&](const site::site_objects& base) { return with_state(base, id, words[0]); },
                 id.str() + " " + words[0]);
}

} // namespace oriole::ctl
