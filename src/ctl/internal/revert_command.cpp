#include "ctl/internal/revert_command.h"

#include "ctl/internal/change_publisher.h"
#include "ctl/internal/platform_site.h"

namespace oriole::ctl {

std::vector<option_schema> revert_command::options() const {
    return change_publisher::options();
}

exit_code revert_command::run(const arguments& args, console& output) {
    if (args.positional().size() != 1) {
        throw usage_error("expected one GENERATION to revert to, got " +
                          std::to_string(args.positional().size()) + " arguments");
    }
    const auto number = parse_generation(args.positional().front());
    auto earlier = platform_site(m_system, args).objects_at(number);
    return change_publisher(m_system, args, output)
        .publish([&](const site::site_objects&) { return earlier; },
                 "revert to generation " + std::to_string(number));
}

} // namespace oriole::ctl
