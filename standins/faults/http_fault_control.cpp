#include "base/errors.h"
#include "faults/fault_proxy.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <vector>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

class http_fault_control final : public fault_control {
public:
    http_fault_control(asio::io_context& io, const endpoint& listen)
        : m_io(io),
          m_acceptor(io, tcp::endpoint(asio::ip::make_address(listen.address()), listen.port())) {
        asio::co_spawn(io, accept_connections(), asio::detached);
    }

    [[nodiscard]] endpoint address() const override {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

    void add(fault_proxy& proxy) override { m_proxies.push_back(&proxy); }

private:
    asio::awaitable<void> accept_connections() {
        while (true) {
            error_code failed;
            tcp::socket socket =
                co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, failed));
            if (!failed) {
                asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        bool open = true;
        while (open) {
            error_code failed;
            http_request request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(use_awaitable, failed));
            if (failed) {
                co_return;
            }
            http_response response = handle(request);
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            co_await http::async_write(socket, response,
                                       asio::redirect_error(use_awaitable, failed));
            open = !failed && request.keep_alive();
        }
    }

    http_response handle(const http_request& request) {
        http_response response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        if (request.target() != "/faults") {
            response.result(http::status::not_found);
            return response;
        }
        try {
            if (request.method() == http::verb::put) {
                m_settings = read_fault_settings(request.body());
                for (auto* proxy : m_proxies) {
                    proxy->set_faults(m_settings);
                }
            }
        } catch (const invalid_input& failure) {
            response.result(http::status::bad_request);
            response.body() = failure.what();
            return response;
        }
        response.body() = write_fault_settings(m_settings);
        return response;
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::vector<fault_proxy*> m_proxies;
    fault_settings m_settings;
};

} // namespace

std::unique_ptr<fault_control> make_fault_control(asio::io_context& io, const endpoint& listen) {
    return std::make_unique<http_fault_control>(io, listen);
}

} // namespace oriole::standins
