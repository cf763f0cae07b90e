#pragma once

#include "ctl/command.h"

#include <string>
#include <vector>

namespace oriole::ctl {

/// Parses `words`, the part of the command line after the command's name. Throws usage_error.
[[nodiscard]] arguments parse_arguments(const std::vector<option_schema>& options,
                                        const std::vector<std::string>& words);

/// The options that every command accepts: --output and --help.
[[nodiscard]] std::vector<option_schema> common_options();

/// The text of 'oriolectl COMMAND --help'.
[[nodiscard]] std::string command_help(const command& selected);

/// The text of 'oriolectl --help', which lists all commands.
[[nodiscard]] std::string program_help(const command_list& commands);

} // namespace oriole::ctl
