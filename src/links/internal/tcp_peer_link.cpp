#include "links/peer_link.h"

#include "links/backend_codec.h"
#include "links/backend_link.h"
#include "links/internal/peer_connection.h"
#include "links/internal/rpc_client_codec.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <optional>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

/// Shorter than the idle timeout of the server, so that a call rarely uses a connection that the
/// server is closing.
constexpr std::chrono::seconds idle_timeout{30};

/// Failure detection probes the members in turn; further idle connections would rarely be reused.
constexpr std::size_t max_idle_connections = 64;

using connection_ptr = std::unique_ptr<peer_connection>;

/// A failed machine does not refuse connections; an attempt to connect to it only times out.
constexpr std::chrono::milliseconds connect_timeout{300};

/// Peers answer a method that they do not know with an error.
const std::string first_call_method = "first_call";

struct idle_connection {
    endpoint peer;
    connection_ptr connection;
    clock::time_point since;
};

/// Whether the peer has not closed its side yet.
bool still_open(peer_connection& idle) {
    auto& socket = idle.stream.socket();
    std::array<char, 1> byte{};
    error_code state;
    socket.non_blocking(true, state);
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, state);
    return state == asio::error::would_block;
}

std::string encode_call(std::uint64_t id, const std::string& method, const std::string& params) {
    try {
        return make_rpc_request(id, method, params);
    } catch (const rpc_error& failure) {
        throw peer_call_refused(method + ": " + failure.what());
    }
}

class tcp_peer_link final : public peer_link {
public:
    tcp_peer_link(asio::any_io_executor executor, const peer_secret& secret)
        : m_executor(std::move(executor)), m_key(derive_peer_key(secret)) {}

    awaitable<std::string> call(endpoint peer, std::string method, std::string params,
                                clock::time_point deadline) override;

    [[nodiscard]] std::size_t bytes() const noexcept override { return m_bytes; }

private:
    awaitable<connection_ptr> open(const endpoint& peer, clock::time_point deadline);
    awaitable<connection_ptr> connect(const endpoint& peer, clock::time_point deadline);
    /// Makes a short call, after which the server accepts long ones.
    awaitable<void> make_first_call(peer_connection& connection);
    awaitable<std::string> exchange(peer_connection& connection, const std::string& request);
    connection_ptr take_idle(const endpoint& peer);
    void store_idle(const endpoint& peer, connection_ptr connection);
    /// Closes the idle connections to the peer that have not been used since `time`.
    void close_idle_since(const endpoint& peer, clock::time_point time);

    asio::any_io_executor m_executor;
    peer_key m_key;
    std::list<idle_connection> m_idle; ///< least recently used first
    std::size_t m_bytes = 0;
    std::uint64_t m_last_id = 0; ///< of the requests, over all connections
};

awaitable<std::string> tcp_peer_link::call(endpoint peer, std::string method, std::string params,
                                           clock::time_point deadline) {
    const std::uint64_t id = ++m_last_id;
    const std::string request = encode_call(id, method, params);
    if (request.size() > max_peer_message_bytes) {
        throw peer_call_too_long(method + ": the call is longer than the maximum");
    }
    connection_ptr connection = take_idle(peer);
    if (!connection) {
        connection = co_await open(peer, deadline);
        if (request.size() > max_first_peer_call_bytes) {
            co_await make_first_call(*connection);
        }
    }
    connection->stream.expires_at(deadline);
    const auto started = steady_clock().now();
    std::string answer;
    try {
        answer = co_await exchange(*connection, request);
    } catch (const link_error&) {
        // What silenced or reset this connection may have done so with the others.
        close_idle_since(peer, started);
        throw;
    }
    try {
        auto result = read_rpc_result(id, method, answer);
        store_idle(peer, std::move(connection));
        co_return result;
    } catch (const rpc_refusal& failure) {
        store_idle(peer, std::move(connection));
        throw peer_call_refused(method + " at " + peer.str() + ": " + failure.what());
    } catch (const rpc_error& failure) {
        store_idle(peer, std::move(connection));
        throw peer_call_failed(method + " at " + peer.str() + ": " + failure.what());
    } catch (const rpc_answer_mismatch& failure) {
        throw unexpected_answer(method + " at " + peer.str() + ": " + failure.what());
    }
}

awaitable<void> tcp_peer_link::make_first_call(peer_connection& connection) {
    const std::uint64_t id = ++m_last_id;
    try {
        const auto answer = co_await exchange(connection, encode_call(id, first_call_method, "{}"));
        static_cast<void>(read_rpc_result(id, first_call_method, answer));
    } catch (const rpc_error&) {
        co_return; // The peer has answered, so the connection works.
    } catch (const rpc_answer_mismatch& failure) {
        throw link_error(failure.what(), false);
    } catch (const link_error& failure) {
        throw link_error(failure.what(), false);
    }
}

awaitable<std::string> tcp_peer_link::exchange(peer_connection& connection,
                                               const std::string& request) {
    const std::size_t before = connection.bytes;
    try {
        std::string frame = connection.session.seal(request);
        co_await write_peer_frame(connection, std::move(frame));
        frame = co_await read_peer_frame(connection, max_peer_message_bytes + peer_seal_bytes);
        m_bytes += connection.bytes - before;
        co_return connection.session.open(frame);
    } catch (const decode_error& failure) {
        throw unexpected_answer(std::string("no answer from the peer: ") + failure.what());
    } catch (const std::exception& failure) {
        throw link_error(std::string("no answer from the peer: ") + failure.what(), true);
    }
}

awaitable<connection_ptr> tcp_peer_link::open(const endpoint& peer, clock::time_point deadline) {
    try {
        co_return co_await connect(peer, deadline);
    } catch (const boost::system::system_error& failure) {
        if (failure.code() == asio::error::connection_refused) {
            throw peer_not_running("peer " + peer.str() + " is not running: connection refused");
        }
        throw link_error("peer " + peer.str() + " cannot be reached: " + failure.what(), false);
    } catch (const std::exception& failure) {
        throw link_error("peer " + peer.str() + " cannot be reached: " + failure.what(), false);
    }
}

awaitable<connection_ptr> tcp_peer_link::connect(const endpoint& peer, clock::time_point deadline) {
    boost::beast::tcp_stream stream(m_executor);
    stream.expires_at(std::min(deadline, steady_clock().now() + connect_timeout));
    const tcp::endpoint remote(asio::ip::make_address(peer.address()), peer.port());
    co_await stream.async_connect(remote, asio::use_awaitable);
    stream.socket().set_option(tcp::no_delay(true));
    auto opened = std::make_unique<peer_connection>(std::move(stream), peer_side::caller, m_key);
    std::string hello = opened->session.hello();
    co_await write_peer_frame(*opened, std::move(hello));
    hello = co_await read_peer_frame(*opened, peer_hello_bytes);
    opened->session.accept_hello(hello);
    opened->stream.expires_at(deadline);
    m_bytes += opened->bytes;
    co_return opened;
}

connection_ptr tcp_peer_link::take_idle(const endpoint& peer) {
    const auto oldest = steady_clock().now() - idle_timeout;
    while (!m_idle.empty() && m_idle.front().since < oldest) {
        m_idle.pop_front();
    }
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        if (it->peer != peer) {
            ++it;
            continue;
        }
        connection_ptr taken = std::move(it->connection);
        it = m_idle.erase(it);
        if (still_open(*taken)) {
            return taken;
        }
    }
    return nullptr;
}

void tcp_peer_link::store_idle(const endpoint& peer, connection_ptr connection) {
    connection->stream.expires_never();
    m_idle.push_back({peer, std::move(connection), steady_clock().now()});
    if (m_idle.size() > max_idle_connections) {
        m_idle.pop_front();
    }
}

void tcp_peer_link::close_idle_since(const endpoint& peer, clock::time_point time) {
    m_idle.remove_if(
        [&](const idle_connection& idle) { return idle.peer == peer && idle.since < time; });
}

} // namespace

std::unique_ptr<peer_link> make_peer_link(asio::any_io_executor executor,
                                          const peer_secret& secret) {
    return std::make_unique<tcp_peer_link>(std::move(executor), secret);
}

} // namespace oriole::links
