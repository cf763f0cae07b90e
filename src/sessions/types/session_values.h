#pragma once

#include <map>
#include <string>

namespace oriole::sessions {

/// Values that a session has set, by name.
using session_values = std::map<std::string, std::string>;

} // namespace oriole::sessions
