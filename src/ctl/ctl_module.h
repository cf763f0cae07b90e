#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

#include <string>
#include <vector>

namespace oriole::ctl {

/// oriolectl, the command-line tool for operators. Creates all commands and runs the one that the
/// command line names. Not thread-safe.
class ctl_module {
public:
    /// `system` outlives the module.
    explicit ctl_module(environment& system);

    /// Runs `command_line`, which excludes the program's name, and returns the exit code of the
    /// process. Errors are written to `err` and not thrown.
    [[nodiscard]] int run(const std::vector<std::string>& command_line, std::ostream& out,
                          std::ostream& err);

private:
    command_list m_commands;
};

} // namespace oriole::ctl
