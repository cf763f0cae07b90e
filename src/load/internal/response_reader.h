#pragma once

#include "load/internal/caller_connection.h"
#include "load/types/planned_request.h"

namespace oriole::load {

/// The JSON body of a request with these statements.
[[nodiscard]] std::string encode_statements(const std::vector<machines::statement>& statements);

/// Converts the HTTP response of an instance. If the body is malformed, the result keeps the status
/// and the outcome but has no statement results.
[[nodiscard]] execution_result read_response(const http_response& response);

} // namespace oriole::load
