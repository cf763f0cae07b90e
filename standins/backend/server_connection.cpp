#include "server_connection.h"

#include <boost/asio.hpp>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;

/// How long a refused connection may stay open without sending a request.
constexpr std::chrono::seconds refused_connection_timeout{1};

std::int64_t statement_count(const links::backend_request& request) {
    const auto* execute = std::get_if<links::execute_request>(&request.call);
    return execute == nullptr ? 1 : static_cast<std::int64_t>(execute->statements.size());
}

} // namespace

server_connection::server_connection(asio::ip::tcp::socket socket,
                                     const links::backend_codec& codec, const port_settings& port)
    : m_codec(codec),
      m_port(port),
      m_executor(socket.get_executor()),
      m_channel(links::make_tcp_frame_channel(std::move(socket))) {}

void server_connection::start() {
    if (m_port.connect_delay == std::chrono::milliseconds(0)) {
        m_channel->start(weak_from_this());
        return;
    }
    asio::co_spawn(m_executor, start_after_delay(shared_from_this()), asio::detached);
}

asio::awaitable<void> server_connection::start_after_delay(connection_ptr self) {
    asio::steady_timer timer(self->m_executor, self->m_port.connect_delay);
    co_await timer.async_wait(asio::use_awaitable);
    self->m_channel->start(self->weak_from_this());
}

void server_connection::start_refusing() {
    m_refusing = true;
    m_channel->start(weak_from_this());
    asio::co_spawn(m_executor, close_after_timeout(shared_from_this()), asio::detached);
}

asio::awaitable<void> server_connection::close_after_timeout(connection_ptr self) {
    asio::steady_timer timer(self->m_executor, refused_connection_timeout);
    co_await timer.async_wait(asio::use_awaitable);
    self->close();
}

void server_connection::send(std::uint64_t id, links::backend_result result) {
    std::string bytes = m_codec.encode(links::backend_answer{id, std::move(result)});
    if (bytes.size() > links::max_backend_message_bytes) {
        const links::refusal_answer refusal{
            links::refusal_reason::malformed, 0,
            "answer of " + std::to_string(bytes.size()) + " bytes exceeds the limit of " +
                std::to_string(links::max_backend_message_bytes) + " bytes per message"};
        bytes = m_codec.encode(links::backend_answer{id, refusal});
    }
    m_channel->send(bytes);
}

void server_connection::on_frame(std::span<const char> frame) {
    auto request = m_codec.decode_request(frame);
    if (m_refusing) {
        send(request.id, links::refusal_answer{links::refusal_reason::no_connection, 0,
                                               "connection limit of the server is reached"});
        m_channel->close_after_send();
        return;
    }
    if (m_port.service_time == std::chrono::microseconds(0)) {
        m_port.handle_request(shared_from_this(), std::move(request));
        return;
    }
    m_queue.push_back(std::move(request));
    if (!m_queue_active) {
        m_queue_active = true;
        asio::co_spawn(m_executor, serve_queued(shared_from_this()), asio::detached);
    }
}

asio::awaitable<void> server_connection::serve_queued(connection_ptr self) {
    asio::steady_timer timer(self->m_executor);
    while (self->open() && !self->m_queue.empty()) {
        auto request = std::move(self->m_queue.front());
        self->m_queue.pop_front();
        timer.expires_after(self->m_port.service_time * statement_count(request));
        co_await timer.async_wait(asio::use_awaitable);
        if (self->open()) {
            self->m_port.handle_request(self, std::move(request));
        }
    }
    self->m_queue_active = false;
}

void server_connection::on_closed(const std::string& /*reason*/) noexcept {
    m_state.open_transaction.reset();
    m_port.on_closed(shared_from_this());
}

} // namespace oriole::standins
