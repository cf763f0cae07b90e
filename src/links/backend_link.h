#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"
#include "links/types/backend_messages.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace oriole::links {

/// A connection failed, or an answer did not arrive before its deadline.
class link_error : public error {
public:
    link_error(const std::string& what, bool sent) : error(what), m_sent(sent) {}

    /// Whether the request may have reached the server.
    [[nodiscard]] bool sent() const noexcept { return m_sent; }

private:
    bool m_sent;
};

/// One connection to a backend server. Calls may overlap: answers are matched to requests by id. An
/// answer whose id matches no request, a truncated frame or a message that cannot be decoded closes
/// the link. Not thread-safe; used on the executor it was connected on.
class backend_link {
public:
    virtual ~backend_link() = default;

    /// Sends `call` and waits for its answer until `deadline`. Throws link_error. After a timeout
    /// the late answer is discarded and the link stays usable.
    [[nodiscard]] virtual boost::asio::awaitable<backend_result>
    call(backend_call call, clock::time_point deadline) = 0;

    /// False once the link has been closed by either side or by an error.
    [[nodiscard]] virtual bool usable() const noexcept = 0;

    /// Number of calls that wait for an answer.
    [[nodiscard]] virtual std::size_t in_flight() const noexcept = 0;

    virtual void close() noexcept = 0;
};

/// Opens connections to backend servers. Thread-safe.
class backend_connector {
public:
    virtual ~backend_connector() = default;

    /// Opens a connection on the calling coroutine's executor. Throws link_error with sent() false.
    [[nodiscard]] virtual boost::asio::awaitable<std::shared_ptr<backend_link>>
    connect(endpoint server, clock::time_point deadline) = 0;
};

/// Connects over TCP. The operating system chooses the source address.
[[nodiscard]] std::unique_ptr<backend_connector> make_tcp_backend_connector();

} // namespace oriole::links
