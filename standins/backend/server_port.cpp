#include "server_port.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

namespace oriole::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Delay after a failed accept, which usually means that the process has no free file descriptor.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

server_port::server_port(const asio::any_io_executor& executor, const endpoint& address,
                         std::optional<std::uint32_t> limit, port_settings settings)
    : m_acceptor(executor,
                 tcp::endpoint(asio::ip::make_address(address.address()), address.port())),
      m_connection_limit(limit),
      m_settings(std::move(settings)) {
    m_settings.on_closed = [this](const std::shared_ptr<server_connection>& connection) {
        m_accepted_connections.erase(connection);
        m_refused_connections.erase(connection);
    };
}

server_port::~server_port() {
    m_settings.on_closed = [](const std::shared_ptr<server_connection>&) {};
    for (const auto& connection : m_accepted_connections) {
        connection->close();
    }
    for (const auto& connection : m_refused_connections) {
        connection->close();
    }
}

void server_port::start() {
    asio::co_spawn(m_acceptor.get_executor(), accept_loop(), asio::detached);
}

asio::awaitable<void> server_port::accept_loop() {
    asio::steady_timer retry_timer(m_acceptor.get_executor());
    for (;;) {
        bool failed = false;
        try {
            add_connection(co_await m_acceptor.async_accept(asio::use_awaitable));
        } catch (const boost::system::system_error& failure) {
            LOG(WARNING) << "connection not accepted reason=\"" << failure.what() << '"';
            failed = true;
        }
        if (failed) {
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(asio::use_awaitable);
        }
    }
}

void server_port::add_connection(tcp::socket socket) {
    auto connection = std::make_shared<server_connection>(std::move(socket), *m_codec, m_settings);
    if (m_connection_limit && m_accepted_connections.size() >= *m_connection_limit) {
        m_refused_connections.insert(connection);
        connection->start_refusing();
        return;
    }
    m_accepted_connections.insert(connection);
    connection->start();
}

} // namespace oriole::standins
