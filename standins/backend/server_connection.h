#pragma once

#include "database_server.h"
#include "links/backend_codec.h"
#include "links/frame_channel.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace oriole::standins {

class server_connection;

/// Settings and callbacks shared by all connections of one port.
struct port_settings {
    /// Handles one request and answers it through send() of the connection, at once or later.
    std::function<void(const std::shared_ptr<server_connection>&, links::backend_request)>
        handle_request;
    std::function<void(const std::shared_ptr<server_connection>&)> on_closed;
    std::chrono::milliseconds connect_delay{0};
    std::chrono::microseconds service_time{0};
};

/// One accepted connection of a client. Not thread-safe.
class server_connection final : public links::frame_handler,
                                public std::enable_shared_from_this<server_connection> {
public:
    /// Precondition: `port` outlives the connection.
    server_connection(boost::asio::ip::tcp::socket socket, const links::backend_codec& codec,
                      const port_settings& port);

    /// Starts to serve requests after the connect delay of the port.
    void start();

    /// Refuses the first request and then closes the connection. Closes it after a time limit, too,
    /// when no request arrives.
    void start_refusing();

    void send(std::uint64_t id, links::backend_result result);

    [[nodiscard]] connection_state& state() noexcept { return m_state; }

    [[nodiscard]] bool open() const noexcept { return m_channel->open(); }

    void close() noexcept { m_channel->close(); }

    void on_frame(std::span<const char> frame) override;
    void on_closed(const std::string& reason) noexcept override;

private:
    using connection_ptr = std::shared_ptr<server_connection>;

    static boost::asio::awaitable<void> start_after_delay(connection_ptr self);
    static boost::asio::awaitable<void> close_after_timeout(connection_ptr self);
    static boost::asio::awaitable<void> serve_queued(connection_ptr self);

    const links::backend_codec& m_codec;
    const port_settings& m_port;
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<links::frame_channel> m_channel;
    connection_state m_state;
    std::deque<links::backend_request> m_queue; ///< used only when service_time is not 0
    bool m_queue_active = false;
    bool m_refusing = false;
};

} // namespace oriole::standins
