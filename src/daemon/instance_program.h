#pragma once

#include "base/types/finding.h"

#include <optional>
#include <string>

namespace oriole::daemon {

/// What differs between the programs that run an instance. Used by run_program() on the main
/// thread.
class instance_program {
public:
    virtual ~instance_program() = default;

    /// One line for the help text.
    [[nodiscard]] virtual std::string description() const = 0;

    /// Describes the option that names the settings file.
    [[nodiscard]] virtual std::string settings_option_help() const = 0;

    /// Path of the settings file when no option names it; nullopt if the option is required.
    [[nodiscard]] virtual std::optional<std::string> default_settings_path() const = 0;

    /// Reads the settings, which serve() uses. Returns all findings; the program does not start if
    /// one of them is an error.
    [[nodiscard]] virtual findings load_settings(const std::string& path,
                                                 const std::string& text) = 0;

    /// Runs the instance until it is stopped. Throws links::address_in_use, after which it is
    /// called again, and other exceptions, which end the program. Precondition: load_settings() has
    /// returned no error.
    virtual void serve() = 0;
};

/// The main() of an instance's process: prepares the process, handles the command line and serves.
/// Returns the exit status: 0 at a stop, 1 after an error, 2 for wrong options or settings.
[[nodiscard]] int run_program(int argc, char** argv, instance_program& program);

} // namespace oriole::daemon
