#pragma once

#include "links/types/caller_messages.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <variant>

namespace oriole::links {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Decodes the request in `message`. For invalid input it returns the error answer to send and does
/// not throw. Thread-safe.
[[nodiscard]] std::variant<caller_request, caller_answer>
decode_caller_request(const http_request& message);

/// Encodes `answer` for the HTTP `version` of the request (11 is 1.1). Thread-safe.
[[nodiscard]] http_response encode_caller_answer(const caller_answer& answer, unsigned version,
                                                 bool keep_alive);

} // namespace oriole::links
