#pragma once

#include "ctl/console.h"
#include "ctl/types/arguments.h"
#include "ctl/types/exit_code.h"
#include "ctl/types/option_schema.h"

#include <memory>
#include <string>
#include <vector>

namespace oriole::ctl {

/// A subcommand of oriolectl, such as apply or history. Not thread-safe.
class command {
public:
    virtual ~command() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// The positional arguments as --help shows them, for instance "FILE...".
    [[nodiscard]] virtual std::string synopsis() const = 0;

    /// One sentence for --help.
    [[nodiscard]] virtual std::string summary() const = 0;

    /// The options of this command. All commands also accept --output and --help.
    [[nodiscard]] virtual std::vector<option_schema> options() const = 0;

    /// Throws usage_error for wrong arguments, site::store_unreachable when the platform does not
    /// respond, and another oriole::error when the command fails for any other reason.
    [[nodiscard]] virtual exit_code run(const arguments& args, console& output) = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

} // namespace oriole::ctl
