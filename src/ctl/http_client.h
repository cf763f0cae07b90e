#pragma once

#include "base/errors.h"
#include "base/types/endpoint.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace oriole::ctl {

struct http_request {
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
    unsigned status = 0;
    std::map<std::string, std::string> headers; ///< by field name in lower case
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// No complete response arrived within the timeout, or the connection failed. The server may have
/// executed the request.
class http_failure : public error {
public:
    using error::error;
};

/// Opens a connection for each request and waits for the response. Not thread-safe.
class http_client {
public:
    virtual ~http_client() = default;

    /// Blocks for at most `timeout`. Throws http_failure when no complete response has arrived.
    [[nodiscard]] virtual http_response send(const endpoint& server, const http_request& request,
                                             std::chrono::milliseconds timeout) = 0;
};

[[nodiscard]] std::unique_ptr<http_client> make_beast_http_client();

} // namespace oriole::ctl
