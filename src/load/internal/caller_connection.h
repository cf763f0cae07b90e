#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace oriole::load {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// The response to a call over a connection, or the reason why there is none.
struct connection_result {
    std::optional<http_response> response;
    bool sent = false;   ///< whether the request may have reached the instance
    std::string failure; ///< why there is no response; empty if there is
};

/// A keep-alive connection to an instance, opened on first use and reopened after a failure. Not
/// thread-safe.
class caller_connection {
public:
    caller_connection(boost::asio::any_io_executor executor, endpoint target);

    [[nodiscard]] const endpoint& target() const noexcept { return m_target; }

    /// Sends a request and waits at most `limit`, including the time to connect.
    [[nodiscard]] boost::asio::awaitable<connection_result> call(http_request request,
                                                                 std::chrono::milliseconds limit);

private:
    boost::asio::awaitable<boost::system::error_code> open();
    [[nodiscard]] bool usable();
    void close();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    endpoint m_target;
    bool m_open = false;
};

} // namespace oriole::load
