#pragma once

#include "base/errors.h"
#include "load/types/load_options.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace oriole::load {

/// The command line is invalid. The message names the expected form.
class usage_error : public error {
public:
    using error::error;
};

/// Parses the command line, without the program's name. Returns nullopt when --help is given.
/// Throws usage_error.
[[nodiscard]] std::optional<load_options>
read_load_options(const std::vector<std::string>& arguments);

[[nodiscard]] std::string load_options_help();

} // namespace oriole::load
