#pragma once

#include "base/types/endpoint.h"

#include <string>

namespace oriole::ctl {

/// Parses "ADDRESS:PORT". Throws usage_error if the port is missing, 0 or above 65535.
[[nodiscard]] endpoint parse_endpoint(const std::string& text);

} // namespace oriole::ctl
