#pragma once

#include <string>

namespace oriole::ctl {

/// Describes an option of a command.
struct option_schema {
    std::string name;       ///< without the leading hyphens
    std::string value_name; ///< placeholder in --help; empty for a flag without a value
    std::string help;
    bool required = false;

    friend bool operator==(const option_schema&, const option_schema&) = default;
};

} // namespace oriole::ctl
