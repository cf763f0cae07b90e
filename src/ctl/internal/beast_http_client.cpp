#include "ctl/http_client.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <algorithm>
#include <cctype>
#include <exception>

namespace oriole::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

http::request<http::string_body> to_message(const endpoint& server, const http_request& request) {
    constexpr unsigned version = 11; // HTTP/1.1, as Beast encodes it
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(version);
    message.set(http::field::host, server.str());
    message.set(http::field::connection, "close");
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_response to_response(http::response<http::string_body>& message) {
    http_response response;
    response.status = message.result_int();
    for (const auto& field : message) {
        response.headers.emplace(lower_case(std::string(field.name_string())),
                                 std::string(field.value()));
    }
    response.body = std::move(message.body());
    return response;
}

asio::awaitable<http_response> exchange(asio::ip::tcp::endpoint server,
                                        http::request<http::string_body> message,
                                        std::chrono::milliseconds timeout) {
    const auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(server, asio::use_awaitable);
    co_await http::async_write(stream, message, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    co_return to_response(response);
}

class beast_http_client final : public http_client {
public:
    [[nodiscard]] http_response send(const endpoint& server, const http_request& request,
                                     std::chrono::milliseconds timeout) override {
        http_response response;
        std::exception_ptr failure;
        try {
            asio::io_context context;
            const asio::ip::tcp::endpoint address(asio::ip::make_address(server.address()),
                                                  server.port());
            asio::co_spawn(context, exchange(address, to_message(server, request), timeout),
                           [&](std::exception_ptr error, http_response received) {
                               failure = std::move(error);
                               response = std::move(received);
                           });
            context.run();
            if (failure) {
                std::rethrow_exception(failure);
            }
        } catch (const boost::system::system_error& problem) {
            throw http_failure("no response from " + server.str() + ": " +
                               problem.code().message());
        }
        return response;
    }
};

} // namespace

std::unique_ptr<http_client> make_beast_http_client() {
    return std::make_unique<beast_http_client>();
}

} // namespace oriole::ctl
