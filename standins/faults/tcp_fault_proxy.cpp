#include "base/random_source.h"
#include "faults/fault_pipe.h"
#include "faults/fault_proxy.h"

#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <set>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

/// The two sockets of one proxied connection, and the number of bytes to the client after which the
/// connection is closed.
struct proxied_connection {
    proxied_connection(tcp::socket accepted, asio::io_context& io)
        : client(std::move(accepted)), target(io) {}

    void close() {
        error_code ignored;
        client.close(ignored);
        target.close(ignored);
    }

    tcp::socket client;
    tcp::socket target;
    std::optional<std::uint64_t> bytes_until_truncation;
};

using connection_ptr = std::shared_ptr<proxied_connection>;

class tcp_fault_proxy final : public fault_proxy {
public:
    tcp_fault_proxy(asio::io_context& io, const endpoint& listen, const endpoint& target)
        : m_io(io),
          m_acceptor(io),
          m_listen_endpoint(asio::ip::make_address(listen.address()), listen.port()),
          m_target_endpoint(asio::ip::make_address(target.address()), target.port()),
          m_random(make_random_source(m_settings.seed)) {
        open_listener();
    }

    [[nodiscard]] endpoint address() const override {
        return {m_listen_endpoint.address().to_string(), m_listen_endpoint.port()};
    }

    void set_faults(const fault_settings& settings) override {
        const bool cut_ended = m_settings.cut && !settings.cut;
        m_settings = settings;
        m_random = make_random_source(settings.seed);
        for (const auto& connection : m_connections) {
            connection->bytes_until_truncation = settings.truncate_after_bytes;
        }
        if (settings.cut) {
            error_code ignored;
            m_acceptor.close(ignored);
            for (const auto& connection : m_connections) {
                connection->close();
            }
        }
        if (cut_ended) {
            open_listener();
        }
    }

private:
    void open_listener() {
        m_acceptor.open(m_listen_endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(m_listen_endpoint);
        m_acceptor.listen();
        m_listen_endpoint = m_acceptor.local_endpoint();
        asio::co_spawn(m_io, accept_connections(), asio::detached);
    }

    asio::awaitable<void> accept_connections() {
        error_code failed;
        while (!failed) {
            tcp::socket socket =
                co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, failed));
            if (!failed) {
                auto connection = std::make_shared<proxied_connection>(std::move(socket), m_io);
                asio::co_spawn(m_io, serve(std::move(connection)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(connection_ptr connection) {
        connection->bytes_until_truncation = m_settings.truncate_after_bytes;
        m_connections.insert(connection);
        error_code failed;
        co_await connection->target.async_connect(m_target_endpoint,
                                                  asio::redirect_error(use_awaitable, failed));
        if (failed || m_settings.cut) {
            connection->close();
            m_connections.erase(connection);
            co_return;
        }
        connection->client.set_option(tcp::no_delay(true), failed);
        connection->target.set_option(tcp::no_delay(true), failed);
        auto& client = connection->client;
        auto& target = connection->target;
        start_pipe(connection, std::make_shared<fault_pipe>(client, target, [this](std::size_t) {
                       return chunk_faults{next_delay(), m_settings.drop_to_target, {}};
                   }));
        auto* connection_state = connection.get();
        start_pipe(connection, std::make_shared<fault_pipe>(
                                   target, client, [this, connection_state](std::size_t size) {
                                       return choose_faults_to_client(*connection_state, size);
                                   }));
    }

    void start_pipe(const connection_ptr& connection, const std::shared_ptr<fault_pipe>& pipe) {
        asio::co_spawn(m_io, pipe->read(), [connection, pipe](const std::exception_ptr&) {});
        asio::co_spawn(m_io, pipe->write(), [this, connection, pipe](const std::exception_ptr&) {
            connection->close();
            m_connections.erase(connection);
        });
    }

    chunk_faults choose_faults_to_client(proxied_connection& connection, std::size_t size) {
        chunk_faults faults{next_delay(), m_settings.drop_to_client, {}};
        if (connection.bytes_until_truncation) {
            const auto remaining = *connection.bytes_until_truncation;
            *connection.bytes_until_truncation -= std::min<std::uint64_t>(remaining, size);
            if (size >= remaining) {
                faults.close_after_bytes = remaining;
            }
        }
        return faults;
    }

    clock::duration next_delay() {
        const auto jitter = static_cast<std::uint64_t>(m_settings.jitter.count());
        const auto added_jitter = jitter == 0 ? 0 : m_random->next() % (jitter + 1);
        return m_settings.delay + std::chrono::milliseconds(added_jitter);
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_listen_endpoint;
    tcp::endpoint m_target_endpoint;
    fault_settings m_settings;
    std::unique_ptr<random_source> m_random;
    std::set<connection_ptr> m_connections;
};

} // namespace

std::unique_ptr<fault_proxy> make_fault_proxy(asio::io_context& io, const endpoint& listen,
                                              const endpoint& target) {
    return std::make_unique<tcp_fault_proxy>(io, listen, target);
}

} // namespace oriole::standins
