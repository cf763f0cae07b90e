#include <utility>

#include "links/admin_server.h"
#include "links/internal/stream_holder.h"
#include "links/listening_socket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// The setting with the address of this server.
constexpr const char* listen_role = "admin";
constexpr std::chrono::seconds exchange_timeout{10};
constexpr std::size_t max_request_bytes = std::size_t{16} << 10U;
/// Delay after a failed accept, which would fail again immediately while the process is out of file
/// descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};

class http_admin_server final : public admin_server,
                                public std::enable_shared_from_this<http_admin_server> {
public:
    http_admin_server(asio::any_io_executor executor, const endpoint& listen,
                      const admin_handler& handler,
                      std::shared_ptr<machines::resource_account> resources)
        : m_executor(std::move(executor)),
          m_address(listen),
          m_acceptor(m_executor),
          m_handler(handler),
          m_resources(std::move(resources)) {}

    void start() override {
        listen(m_acceptor, m_address, listen_role);
        const auto self = shared_from_this();
        asio::co_spawn(
            m_executor, [self] { return self->accept_loop(); }, asio::detached);
    }

    void stop() override {
        error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    using request = http::request<http::empty_body>;
    using response = http::response<http::string_body>;

    [[nodiscard]] asio::awaitable<void> accept_loop() {
        const auto self = shared_from_this();
        while (m_acceptor.is_open()) {
            error_code error;
            tcp::socket socket(m_executor);
            co_await m_acceptor.async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_await delay_accept();
                continue;
            }
            auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
            asio::co_spawn(
                m_executor, [self, stream] { return self->serve(stream); }, asio::detached);
        }
    }

    [[nodiscard]] asio::awaitable<void> delay_accept() {
        asio::steady_timer timer(m_executor, accept_retry_delay);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    [[nodiscard]] asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream) {
        const auto holder = std::make_shared<stream_holder>(*stream);
        const stream_attachment attachment(holder);
        std::unique_ptr<machines::resource_holding> holding;
        if (m_resources != nullptr) {
            holding = m_resources->open(machines::client_port::admin, holder);
            if (holding == nullptr) {
                co_return;
            }
        }
        beast::flat_buffer buffer(max_request_bytes);
        error_code error;
        bool more = true;
        while (more) {
            request message;
            stream->expires_after(exchange_timeout);
            co_await http::async_read(*stream, buffer, message,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            response reply = answer(message);
            co_await http::async_write(*stream, reply,
                                       asio::redirect_error(asio::use_awaitable, error));
            more = !error && reply.keep_alive();
        }
        stream->socket().shutdown(tcp::socket::shutdown_both, error);
    }

    [[nodiscard]] response answer(const request& message) const {
        response reply(http::status::ok, message.version());
        reply.set(http::field::content_type, "text/plain; charset=utf-8");
        route_request(message, reply);
        reply.keep_alive(message.keep_alive());
        reply.prepare_payload();
        return reply;
    }

    void route_request(const request& message, response& reply) const {
        if (message.method() != http::verb::get) {
            reply.result(http::status::method_not_allowed);
            return;
        }
        const auto target = message.target();
        if (target == "/healthz") {
            reply.body() = "ok\n";
        } else if (target == "/readyz") {
            const bool ready = m_handler.ready();
            reply.result(ready ? http::status::ok : http::status::service_unavailable);
            reply.body() = ready ? "ready\n" : "not ready\n";
        } else if (target == "/metrics") {
            reply.body() = m_handler.metrics();
        } else if (target == "/status") {
            reply.set(http::field::content_type, "application/json");
            reply.body() = m_handler.status();
        } else {
            reply.result(http::status::not_found);
        }
    }

    asio::any_io_executor m_executor;
    endpoint m_address;
    tcp::acceptor m_acceptor;
    const admin_handler& m_handler;
    std::shared_ptr<machines::resource_account> m_resources;
};

} // namespace

std::shared_ptr<admin_server>
make_http_admin_server(asio::any_io_executor executor, const endpoint& listen,
                       const admin_handler& handler,
                       std::shared_ptr<machines::resource_account> resources) {
    return std::make_shared<http_admin_server>(std::move(executor), listen, handler,
                                               std::move(resources));
}

} // namespace oriole::links
