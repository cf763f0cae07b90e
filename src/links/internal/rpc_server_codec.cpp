#include "links/internal/rpc_server_codec.h"

#include "links/internal/rpc_refusal_code.h"
#include "links/peer_link.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <memory>
#include <vector>

namespace oriole::links {
namespace {

std::string write(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true; // An escaped character takes three times as many bytes.
    return Json::writeString(builder, value);
}

Json::Value parse(const std::string& text) {
    Json::Value value;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                        "the result of the handler is not valid JSON");
    }
    return value;
}

} // namespace

class rpc_server_codec::protocol final : public jsonrpc::IProcedureInvokationHandler {
public:
    protocol()
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this)) {}

    // NOLINTNEXTLINE(readability-identifier-naming)
    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override {
        if (m_outcome == nullptr) {
            m_calls.push_back({procedure.GetProcedureName(), write(input)});
            return;
        }
        if (m_outcome->failed) {
            throw jsonrpc::JsonRpcException(
                m_outcome->refused ? rpc_refusal_code : jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                m_outcome->text);
        }
        output = parse(m_outcome->text);
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                                const Json::Value& /*input*/) override {}

    void add_method(const std::string& name) {
        m_handler->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }

    std::vector<rpc_call> read(const std::string& request) {
        m_calls.clear();
        m_outcome = nullptr;
        std::string ignored;
        m_handler->HandleRequest(request, ignored);
        return std::move(m_calls);
    }

    std::string answer(const std::string& request, const rpc_outcome& result) {
        m_outcome = &result;
        std::string text;
        m_handler->HandleRequest(request, text);
        m_outcome = nullptr;
        // The library escapes each character above 0x7f.
        return text.size() > max_peer_message_bytes ? write(parse(text)) : text;
    }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
    std::vector<rpc_call> m_calls;
    const rpc_outcome* m_outcome = nullptr;
};

rpc_server_codec::rpc_server_codec() : m_protocol(std::make_unique<protocol>()) {}

rpc_server_codec::~rpc_server_codec() = default;

void rpc_server_codec::add_method(const std::string& name) {
    m_protocol->add_method(name);
}

std::optional<rpc_call> rpc_server_codec::read(const std::string& request) {
    try {
        auto calls = m_protocol->read(request);
        if (calls.size() == 1) {
            return std::move(calls.front());
        }
    } catch (const std::exception&) {
        // The JSON library throws on text that is nested too deeply; such a request is malformed,
        // too.
        return std::nullopt;
    }
    return std::nullopt;
}

std::string rpc_server_codec::answer(const std::string& request, const rpc_outcome& result) {
    try {
        return m_protocol->answer(request, result);
    } catch (const std::exception&) {
        return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"unreadable"}})";
    }
}

} // namespace oriole::links
