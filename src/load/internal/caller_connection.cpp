#include "load/internal/caller_connection.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace oriole::load {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

} // namespace

caller_connection::caller_connection(asio::any_io_executor executor, endpoint target)
    : m_stream(std::move(executor)), m_target(std::move(target)) {}

asio::awaitable<connection_result> caller_connection::call(http_request request,
                                                           std::chrono::milliseconds limit) {
    connection_result result;
    m_stream.expires_after(limit);
    if (!usable()) {
        const error_code failed = co_await open();
        if (failed) {
            close();
            result.failure = "cannot connect: " + failed.message();
            co_return result;
        }
    }
    result.sent = true;
    error_code failed;
    co_await http::async_write(m_stream, request, asio::redirect_error(use_awaitable, failed));
    http_response response;
    if (!failed) {
        co_await http::async_read(m_stream, m_buffer, response,
                                  asio::redirect_error(use_awaitable, failed));
    }
    if (failed) {
        close();
        result.failure = "no response: " + failed.message();
        co_return result;
    }
    if (!response.keep_alive()) {
        close();
    }
    result.response = std::move(response);
    co_return result;
}

asio::awaitable<error_code> caller_connection::open() {
    close();
    const tcp::endpoint address(asio::ip::make_address(m_target.address()), m_target.port());
    error_code failed;
    co_await m_stream.async_connect(address, asio::redirect_error(use_awaitable, failed));
    if (failed) {
        co_return failed;
    }
    m_stream.socket().set_option(tcp::no_delay(true));
    m_stream.socket().non_blocking(true);
    m_open = true;
    co_return failed;
}

/// Whether the connection is open and the instance has not closed it. An instance that stops closes
/// its idle connections; a request on a closed one would be recorded with an unknown outcome
/// although it never reached the instance.
bool caller_connection::usable() {
    if (!m_open) {
        return false;
    }
    char next = 0;
    error_code state;
    m_stream.socket().receive(asio::buffer(&next, 1), tcp::socket::message_peek, state);
    return state == asio::error::would_block;
}

void caller_connection::close() {
    error_code ignored;
    m_stream.socket().close(ignored);
    m_buffer.clear();
    m_open = false;
}

} // namespace oriole::load
