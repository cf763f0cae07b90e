#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace oriole {
namespace links {

// The client header of libjsonrpccpp has dynamic exception specifications, which C++17 removed.
// Only rpc_client_codec.cpp includes it, and is compiled as C++14; this header is valid in both
// versions.

/// A JSON-RPC answer reports an error, or a request is invalid.
class rpc_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A JSON-RPC answer reports that the call was refused before it had any effect.
class rpc_refusal : public rpc_error {
public:
    using rpc_error::rpc_error;
};

/// The text is not the answer to the request: it is no JSON-RPC 2.0 answer, or has another id.
class rpc_answer_mismatch : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Encodes the JSON-RPC 2.0 request `id` that calls `method` with the JSON object `params`. Throws
/// rpc_error when `params` is not JSON.
std::string make_rpc_request(std::uint64_t id, const std::string& method,
                             const std::string& params);

/// Decodes the JSON-RPC answer to the request `id`, a call of `method`, and returns the result as
/// JSON text. Throws rpc_refusal, rpc_error and rpc_answer_mismatch.
std::string read_rpc_result(std::uint64_t id, const std::string& method, const std::string& answer);

} // namespace links
} // namespace oriole
