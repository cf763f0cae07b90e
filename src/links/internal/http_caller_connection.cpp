#include <utility>

#include "links/internal/http_caller_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Limit of the bytes read and discarded after the last answer. Closing a socket with unread input
/// would reset the connection, and the caller could lose an answer it has not read yet.
constexpr std::size_t max_discarded_bytes = std::size_t{64} * 1024;

/// Time for a caller to close its side after the last answer. A graceful shutdown waits for it.
constexpr std::chrono::seconds close_timeout{1};

unfinished_request describe(const caller_request& request) {
    const bool writes = std::any_of(request.statements.begin(), request.statements.end(),
                                    [](const auto& statement) { return statement.writes(); });
    return {request.call, writes, request.request_id};
}

std::optional<caller_answer> refusal_for(const error_code& error) {
    if (error == http::error::header_limit) {
        return refusal(answer_code::headers_too_large, "the headers are larger than 8 KiB");
    }
    if (error == http::error::body_limit) {
        return refusal(answer_code::too_large, "the body is larger than 256 KiB");
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error.category() == make_error_code(http::error::bad_method).category()) {
        return refusal(answer_code::malformed, "the request is not HTTP/1.1: " + error.message());
    }
    return std::nullopt;
}

} // namespace

http_caller_connection::http_caller_connection(asio::ip::tcp::socket socket,
                                               caller_handler& handler,
                                               std::shared_ptr<caller_server_state> state)
    : m_socket(std::move(socket)),
      m_handler(handler),
      m_state(std::move(state)),
      m_phase_since(steady_clock().now()) {
    m_state->open_connections.fetch_add(1, std::memory_order_relaxed);
}

http_caller_connection::~http_caller_connection() {
    m_state->open_connections.fetch_sub(1, std::memory_order_relaxed);
}

asio::awaitable<void> http_caller_connection::run() {
    const auto self = shared_from_this();
    bool more = true;
    while (more && !m_close_requested) {
        more = co_await serve_next_request();
    }
    if (!m_closed_by_finish) {
        co_await drain_and_close();
    }
}

void http_caller_connection::close_when_idle() {
    m_close_requested = true;
    if (m_phase == phase::idle) {
        error_code ignored;
        m_socket.cancel(ignored);
    }
}

void http_caller_connection::end_now() {
    close_when_idle();
    if (!m_running) {
        return;
    }
    auto answer = m_handler.answer_unfinished(*m_running);
    m_running.reset();
    m_closed_by_finish = true;
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this(), moved = std::move(answer)]() mutable {
            return self->finish(std::move(moved), self->m_running_version);
        },
        asio::detached);
}

asio::awaitable<void> http_caller_connection::finish(caller_answer answer, unsigned version) {
    static_cast<void>(co_await send(answer, version, false));
    co_await drain_and_close();
}

void http_caller_connection::close_if_expired(clock::time_point now) {
    const auto& limits = m_state->limits;
    const bool idle_expired = m_phase == phase::idle && now - m_phase_since > limits.idle_timeout;
    const bool receive_expired =
        m_phase == phase::receiving && now - m_phase_since > limits.receive_timeout;
    const bool close_expired = m_phase == phase::closing && now - m_phase_since > close_timeout;
    if (idle_expired || receive_expired || close_expired) {
        m_close_requested = true;
        error_code ignored;
        m_socket.cancel(ignored);
    }
}

asio::awaitable<bool> http_caller_connection::serve_next_request() {
    error_code error;
    if (m_buffer.size() == 0) {
        // Frees the buffer of an idle connection: with thousands of connections per instance,
        // buffers would take most of its memory.
        m_buffer.shrink_to_fit();
        co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                                     asio::redirect_error(asio::use_awaitable, error));
        if (error && !has_received_bytes()) {
            co_return false;
        }
    }
    set_phase(phase::receiving);
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_state->limits.max_header_bytes));
    parser.body_limit(m_state->limits.max_body_bytes);
    co_await http::async_read(m_socket, m_buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    set_phase(phase::answering);
    if (!error) {
        const http_request message = parser.release();
        co_return co_await answer_request(message);
    }
    const auto refused = refusal_for(error);
    if (refused) {
        constexpr unsigned http_1_1 = 11;
        co_await send(*refused, http_1_1, false);
    }
    co_return false;
}

bool http_caller_connection::has_received_bytes() const {
    error_code error;
    return m_socket.available(error) > 0 && !error;
}

asio::awaitable<bool> http_caller_connection::answer_request(const http_request& message) {
    m_state->requests_in_progress.fetch_add(1, std::memory_order_relaxed);
    auto decoded = decode_caller_request(message);
    caller_answer answer;
    if (auto* refused = std::get_if<caller_answer>(&decoded)) {
        answer = std::move(*refused);
    } else {
        caller_request request = std::move(std::get<caller_request>(decoded));
        m_running = describe(request);
        m_running_version = message.version();
        answer = co_await m_handler.handle(std::move(request), m_identity);
    }
    if (m_closed_by_finish) {
        m_state->requests_in_progress.fetch_sub(1, std::memory_order_relaxed);
        co_return false;
    }
    m_running.reset();
    const bool draining = m_state->draining.load(std::memory_order_relaxed);
    const bool keep_alive = message.keep_alive() && !draining && !m_close_requested;
    const bool more = co_await send(answer, message.version(), keep_alive);
    m_state->requests_in_progress.fetch_sub(1, std::memory_order_relaxed);
    co_return more;
}

asio::awaitable<bool> http_caller_connection::send(const caller_answer& answer, unsigned version,
                                                   bool keep_alive) {
    http_response message = encode_caller_answer(answer, version, keep_alive);
    error_code error;
    co_await http::async_write(m_socket, message, asio::redirect_error(asio::use_awaitable, error));
    set_phase(phase::idle);
    co_return !error && message.keep_alive();
}

asio::awaitable<void> http_caller_connection::drain_and_close() {
    error_code error;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    set_phase(phase::closing);
    m_close_requested = false;
    m_buffer.clear();
    std::size_t discarded = 0;
    while (!error && discarded < max_discarded_bytes) {
        constexpr std::size_t chunk_bytes = 1024;
        const auto space = m_buffer.prepare(chunk_bytes);
        discarded += co_await m_socket.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, error));
    }
    m_socket.close(error);
}

void http_caller_connection::set_phase(phase next) {
    m_phase = next;
    m_phase_since = steady_clock().now();
}

} // namespace oriole::links
