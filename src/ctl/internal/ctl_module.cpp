#include "ctl/ctl_module.h"

#include "ctl/internal/apply_command.h"
#include "ctl/internal/check_command.h"
#include "ctl/internal/command_line.h"
#include "ctl/internal/diff_command.h"
#include "ctl/internal/get_command.h"
#include "ctl/internal/history_command.h"
#include "ctl/internal/key_command.h"
#include "ctl/internal/revert_command.h"
#include "ctl/internal/service_state_command.h"
#include "ctl/internal/status_command.h"
#include "ctl/internal/stored_entries_command.h"
#include "site/object_store.h"

#include <algorithm>
#include <exception>

namespace oriole::ctl {
namespace {

output_format parse_output_format(const arguments& args) {
    const std::string value = args.value("output", "text");
    if (value != "text" && value != "json") {
        throw usage_error("--output is '" + value + "'; write text or json");
    }
    return value == "json" ? output_format::json : output_format::text;
}

command& find_command(const command_list& commands, const std::string& name) {
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const auto& entry) { return entry->name() == name; });
    if (found == commands.end()) {
        throw usage_error("unknown command '" + name + "'; 'oriolectl --help' lists the commands");
    }
    return **found;
}

void require_options(const command& selected, const arguments& args) {
    for (const auto& option : selected.options()) {
        if (option.required && !args.has(option.name)) {
            throw usage_error("--" + option.name + " " + option.value_name + " is missing");
        }
    }
}

exit_code run_command(command& selected, const std::vector<std::string>& words, std::ostream& out,
                      std::ostream& err) {
    auto options = selected.options();
    const auto common = common_options();
    options.insert(options.end(), common.begin(), common.end());
    const arguments args = parse_arguments(options, words);
    if (args.has("help")) {
        out << command_help(selected);
        return exit_code::clean;
    }
    console output{out, err, parse_output_format(args)};
    require_options(selected, args);
    return selected.run(args, output);
}

exit_code dispatch(const command_list& commands, const std::vector<std::string>& words,
                   std::ostream& out, std::ostream& err) {
    if (words.empty()) {
        err << program_help(commands);
        return exit_code::usage;
    }
    if (words.front() == "--help" || words.front() == "help") {
        out << program_help(commands);
        return exit_code::clean;
    }
    return run_command(find_command(commands, words.front()), {words.begin() + 1, words.end()}, out,
                       err);
}

} // namespace

ctl_module::ctl_module(environment& system) {
    using site::object_kind;
    m_commands.push_back(std::make_unique<check_command>(system));
    m_commands.push_back(std::make_unique<apply_command>(system));
    m_commands.push_back(std::make_unique<diff_command>(system));
    m_commands.push_back(std::make_unique<get_command>(system));
    m_commands.push_back(std::make_unique<history_command>(system));
    m_commands.push_back(std::make_unique<revert_command>(system));
    m_commands.push_back(
        std::make_unique<service_state_command>(system, "zone", object_kind::availability_zone));
    m_commands.push_back(
        std::make_unique<service_state_command>(system, "server", object_kind::backend_server));
    m_commands.push_back(std::make_unique<key_command>(system));
    m_commands.push_back(std::make_unique<status_command>(system));
    m_commands.push_back(std::make_unique<stored_entries_command>(system, "usage"));
    m_commands.push_back(std::make_unique<stored_entries_command>(system, "audit"));
}

int ctl_module::run(const std::vector<std::string>& command_line, std::ostream& out,
                    std::ostream& err) {
    exit_code code = exit_code::findings;
    try {
        code = dispatch(m_commands, command_line, out, err);
    } catch (const usage_error& problem) {
        err << "oriolectl: " << problem.what() << "\n";
        code = exit_code::usage;
    } catch (const site::store_unreachable& problem) {
        err << "oriolectl: " << problem.what() << "\n";
        code = exit_code::unreachable;
    } catch (const std::exception& problem) {
        err << "oriolectl: " << problem.what() << "\n";
    }
    return static_cast<int>(code);
}

} // namespace oriole::ctl
