#pragma once

#include "base/types/endpoint.h"
#include "server_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_set>

namespace oriole::standins {

/// A listening TCP port and its connections. Not thread-safe.
class server_port {
public:
    using request_handler =
        std::function<void(const std::shared_ptr<server_connection>&, links::backend_request)>;

    /// Without `limit`, the number of connections is not limited. Throws
    /// boost::system::system_error when the address cannot be bound.
    server_port(const boost::asio::any_io_executor& executor, const endpoint& address,
                std::optional<std::uint32_t> limit, port_settings settings);

    server_port(const server_port&) = delete;
    server_port& operator=(const server_port&) = delete;

    /// Closes all connections.
    ~server_port();

    /// Number of open connections, without the refused ones.
    [[nodiscard]] std::uint32_t connection_count() const noexcept {
        return static_cast<std::uint32_t>(m_accepted_connections.size());
    }

    /// The port number in use; chosen by the system when 0 was requested.
    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void start();

private:
    boost::asio::awaitable<void> accept_loop();
    void add_connection(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::optional<std::uint32_t> m_connection_limit;
    port_settings m_settings;
    std::unique_ptr<links::backend_codec> m_codec = links::make_msgpack_backend_codec();
    std::unordered_set<std::shared_ptr<server_connection>> m_accepted_connections;
    std::unordered_set<std::shared_ptr<server_connection>> m_refused_connections;
};

} // namespace oriole::standins
