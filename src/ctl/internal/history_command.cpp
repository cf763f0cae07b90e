#include "ctl/internal/history_command.h"

#include "base/one_line.h"
#include "ctl/internal/platform_site.h"

#include <nlohmann/json.hpp>

namespace oriole::ctl {
namespace {

constexpr site::generation default_limit = 20;

void write_generation(const site::site_head& head, console& output, nlohmann::json& list) {
    if (output.json()) {
        list.push_back({{"generation", head.number()},
                        {"author", head.author()},
                        {"time", head.time()},
                        {"comment", head.comment()},
                        {"operation", head.operation_id()}});
        return;
    }
    output.out << head.number() << "  " << one_line(head.time()) << "  " << one_line(head.author())
               << "  " << one_line(head.comment()) << "\n";
}

} // namespace

std::vector<option_schema> history_command::options() const {
    return {platform_option(), {"limit", "N", "list at most N generations (default 20)", false}};
}

exit_code history_command::run(const arguments& args, console& output) {
    platform_site platform(m_system, args);
    auto limit = args.has("limit") ? parse_generation(args.value("limit")) : default_limit;
    auto list = nlohmann::json::array();
    auto head = platform.store().head();
    while (head && limit > 0) {
        write_generation(*head, output, list);
        --limit;
        head = head->previous() > 0 ? platform.store().head_at(head->previous()) : std::nullopt;
    }
    if (output.json()) {
        output.out << list.dump(2) << "\n";
    }
    return exit_code::clean;
}

} // namespace oriole::ctl
