#include "links/internal/rpc_client_codec.h"

#include "links/internal/rpc_refusal_code.h"

#include <jsonrpccpp/client.h>

#include <exception>
#include <memory>

namespace oriole {
namespace links {
namespace {

/// Connector of the JSON-RPC library that stores the request text and returns a given answer text,
/// so that the library's client runs without I/O.
class in_memory_connector final : public jsonrpc::IClientConnector {
public:
    explicit in_memory_connector(const std::string& answer) : m_answer(answer) {}

    void SendRPCMessage(const std::string& message, // NOLINT(readability-identifier-naming)
                        std::string& result) noexcept override {
        m_request = message;
        result = m_answer;
    }

    const std::string& request() const noexcept { return m_request; }

private:
    std::string m_request;
    std::string m_answer;
};

/// Throws std::exception when the text is not JSON or is nested too deeply.
Json::Value parse(const std::string& text) {
    Json::Value value;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        throw rpc_error("JSON-RPC params or answer are not valid JSON");
    }
    return value;
}

/// Checks every field that the library's client reads, and the id, which it does not compare. The
/// client's exception specifications admit only its own exception type; an exception of the JSON
/// library inside it would terminate the process.
void check_answer(std::uint64_t id, const std::string& text) {
    const Json::Value answer = parse(text);
    if (!answer.isObject() || answer["jsonrpc"] != Json::Value("2.0")) {
        throw rpc_answer_mismatch("answer is not a JSON-RPC 2.0 response");
    }
    if (!answer["id"].isUInt64() || answer["id"].asUInt64() != id) {
        throw rpc_answer_mismatch("answer has another id than the request");
    }
    if (answer.isMember("result") == answer.isMember("error")) {
        throw rpc_answer_mismatch("answer has not exactly one of a result and an error");
    }
    if (answer.isMember("result")) {
        return;
    }
    const Json::Value& failure = answer["error"];
    if (!failure.isObject() || !failure["code"].isInt() || !failure["message"].isString()) {
        throw rpc_answer_mismatch("error of the answer has no valid code or message");
    }
}

/// Returns whether a server answers with this code only for a call that it has not handled.
bool is_refusal(int code) {
    return code == rpc_refusal_code || code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
           code == jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST ||
           code == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND ||
           code == jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS;
}

std::string write(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true; // An escaped character takes three times as many bytes.
    return Json::writeString(builder, value);
}

} // namespace

std::string make_rpc_request(std::uint64_t id, const std::string& method,
                             const std::string& params) {
    // The library requires an answer to each request; this one is ignored.
    in_memory_connector connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        const Json::Value parsed = parse(params);
        client.CallMethod(method, parsed);
        Json::Value request = parse(connector.request());
        request["id"] = Json::UInt64(id); // The library gives every request the same id.
        return write(request);
    } catch (const std::exception& failure) {
        throw rpc_error(std::string("invalid params: ") + failure.what());
    }
}

std::string read_rpc_result(std::uint64_t id, const std::string& method,
                            const std::string& answer) {
    try {
        check_answer(id, answer);
    } catch (const std::exception& failure) {
        throw rpc_answer_mismatch(failure.what());
    }
    in_memory_connector connector(answer);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return write(client.CallMethod(method, Json::Value(Json::objectValue)));
    } catch (const jsonrpc::JsonRpcException& failure) {
        if (is_refusal(failure.GetCode())) {
            throw rpc_refusal(failure.what());
        }
        throw rpc_error(failure.what());
    } catch (const std::exception& failure) {
        throw rpc_error(failure.what());
    }
}

} // namespace links
} // namespace oriole
