#pragma once

#include <map>
#include <string>

namespace oriole::sessions {

/// Session values, as set by a caller, by name.
using session_values = std::map<std::string, std::string>;

} // namespace oriole::sessions
