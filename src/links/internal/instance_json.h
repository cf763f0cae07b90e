#pragma once

#include "machines/types/instance.h"

#include <nlohmann/json_fwd.hpp>

namespace oriole::links {

/// JSON object in which the platform and peers exchange instances.
[[nodiscard]] nlohmann::json instance_to_json(const machines::instance& value);

/// Throws nlohmann::json::exception or decode_error when a field is missing or malformed.
[[nodiscard]] machines::instance instance_from_json(const nlohmann::json& value);

/// Parses "ADDRESS:PORT". Throws decode_error.
[[nodiscard]] endpoint endpoint_from_text(const std::string& text);

} // namespace oriole::links
