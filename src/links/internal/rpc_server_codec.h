#pragma once

#include <memory>
#include <optional>
#include <string>

namespace oriole::links {

/// A call of a registered method.
struct rpc_call {
    std::string method;
    std::string params; ///< JSON text

    friend bool operator==(const rpc_call&, const rpc_call&) = default;
};

/// Outcome of a call: with `failed` false, `text` is the result as JSON, otherwise the reason of
/// the failure.
struct rpc_outcome {
    bool failed = false;
    std::string text;
    bool refused = false; ///< the call failed before it had any effect

    friend bool operator==(const rpc_outcome&, const rpc_outcome&) = default;
};

/// Decodes JSON-RPC 2.0 requests and encodes the answers with the protocol handler of
/// libjsonrpccpp. The library requires the result while it parses the request, but the handlers
/// here are asynchronous. Each request is therefore parsed twice: first to extract the call, then
/// to encode the answer. Not thread-safe.
class rpc_server_codec {
public:
    rpc_server_codec();
    ~rpc_server_codec();
    rpc_server_codec(const rpc_server_codec&) = delete;
    rpc_server_codec& operator=(const rpc_server_codec&) = delete;

    void add_method(const std::string& name);

    /// Returns the call in `request`, or nullopt when the request is malformed, a batch, or names
    /// an unknown method; `answer` then encodes the error.
    [[nodiscard]] std::optional<rpc_call> read(const std::string& request);

    /// Encodes the answer to `request`: `result`, or an error when the request is invalid.
    [[nodiscard]] std::string answer(const std::string& request, const rpc_outcome& result);

private:
    class protocol;
    std::unique_ptr<protocol> m_protocol;
};

} // namespace oriole::links
