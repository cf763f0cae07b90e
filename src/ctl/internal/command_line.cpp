#include "ctl/internal/command_line.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <utility>

namespace oriole::ctl {
namespace {

namespace po = boost::program_options;

/// The column of --help at which descriptions start.
constexpr std::size_t help_column = 28;

po::options_description to_option_descriptions(const std::vector<option_schema>& options) {
    po::options_description known_options;
    for (const auto& option : options) {
        if (option.value_name.empty()) {
            known_options.add_options()(option.name.c_str(), option.help.c_str());
        } else {
            known_options.add_options()(option.name.c_str(),
                                        po::value<std::vector<std::string>>()->composing(),
                                        option.help.c_str());
        }
    }
    return known_options;
}

std::string pad_to_help_column(std::string text) {
    text.resize(std::max(help_column, text.size() + 2), ' ');
    return text;
}

std::string format_option(const option_schema& option) {
    std::string left = "  --" + option.name;
    if (!option.value_name.empty()) {
        left += " " + option.value_name;
    }
    return pad_to_help_column(std::move(left)) + option.help +
           (option.required ? " (required)" : "") + "\n";
}

} // namespace

arguments parse_arguments(const std::vector<option_schema>& options,
                          const std::vector<std::string>& words) {
    const auto known_options = to_option_descriptions(options);
    std::vector<std::string> positional;
    std::map<std::string, std::vector<std::string>> values;
    try {
        // Abbreviations are rejected, since options added later could make them ambiguous.
        const int style =
            po::command_line_style::default_style & ~po::command_line_style::allow_guessing;
        const auto parsed =
            po::command_line_parser(words).options(known_options).style(style).run();
        for (const auto& option : parsed.options) {
            auto& target = option.position_key >= 0 ? positional : values[option.string_key];
            target.insert(target.end(), option.value.begin(), option.value.end());
        }
    } catch (const po::error& problem) {
        throw usage_error(problem.what());
    }
    return {std::move(positional), std::move(values)};
}

std::vector<option_schema> common_options() {
    return {{"output", "text|json", "form of the results", false},
            {"help", "", "show this help", false}};
}

std::string command_help(const command& selected) {
    std::string text = "usage: oriolectl " + selected.name() + " " + selected.synopsis() +
                       " [options]\n\n" + selected.summary() + "\n\noptions:\n";
    for (const auto& option : selected.options()) {
        text += format_option(option);
    }
    for (const auto& option : common_options()) {
        text += format_option(option);
    }
    return text;
}

std::string program_help(const command_list& commands) {
    std::string text = "usage: oriolectl COMMAND [arguments]\n\ncommands:\n";
    for (const auto& command : commands) {
        text += pad_to_help_column("  " + command->name()) + command->summary() + "\n";
    }
    return text +
           "\n'oriolectl COMMAND --help' shows a command's arguments. Exit codes: 0 clean, 1 "
           "findings or refused,\n2 usage error, 3 platform unreachable.\n";
}

} // namespace oriole::ctl
