#include "links/peer_link.h"

#include "links/backend_link.h"
#include "links/internal/peer_wire.h"
#include "links/internal/rpc_client_text.h"

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

/// Shorter than the time after which a server closes an idle connection, so that a call seldom
/// meets a connection that is being closed.
constexpr std::chrono::seconds idle_limit{30};

/// Probing visits the members in turn; more kept connections would hardly be used again.
constexpr std::size_t max_idle_connections = 64;

using connection_ptr = std::unique_ptr<peer_connection>;

/// An instance whose machine is gone does not refuse a connection, it never answers.
constexpr std::chrono::milliseconds connect_limit{300};

struct idle_connection {
    endpoint peer;
    connection_ptr connection;
    clock::time_point since;
};

/// False once the peer has closed its side.
bool still_open(peer_connection& idle) {
    auto& socket = idle.stream.socket();
    std::array<char, 1> byte{};
    error_code state;
    socket.non_blocking(true, state);
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, state);
    return state == asio::error::would_block;
}

std::string encode_call(const std::string& method, const std::string& params) {
    try {
        return make_rpc_request(method, params);
    } catch (const rpc_failed& failure) {
        throw peer_call_failed(method + ": " + failure.what());
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
    awaitable<std::string> exchange(peer_connection& used, const std::string& request);
    connection_ptr take_idle(const endpoint& peer);
    void keep(const endpoint& peer, connection_ptr used);

    asio::any_io_executor m_executor;
    peer_key m_key;
    std::list<idle_connection> m_idle; ///< longest idle first
    std::size_t m_bytes = 0;
};

awaitable<std::string> tcp_peer_link::call(endpoint peer, std::string method, std::string params,
                                           clock::time_point deadline) {
    const std::string request = encode_call(method, params);
    connection_ptr used = take_idle(peer);
    if (!used) {
        used = co_await open(peer, deadline);
    }
    used->stream.expires_at(deadline);
    const std::string answer = co_await exchange(*used, request);
    keep(peer, std::move(used));
    try {
        co_return read_rpc_result(method, answer);
    } catch (const rpc_failed& failure) {
        throw peer_call_failed(method + " at " + peer.str() + ": " + failure.what());
    }
}

awaitable<std::string> tcp_peer_link::exchange(peer_connection& used, const std::string& request) {
    const std::size_t before = used.bytes;
    try {
        std::string frame = used.session.seal(request);
        co_await write_peer_frame(used, std::move(frame));
        frame = co_await read_peer_frame(used, max_peer_message_bytes + peer_seal_bytes);
        m_bytes += used.bytes - before;
        co_return used.session.open(frame);
    } catch (const std::exception& failure) {
        throw link_error(std::string("no answer from the peer: ") + failure.what(), true);
    }
}

awaitable<connection_ptr> tcp_peer_link::open(const endpoint& peer, clock::time_point deadline) {
    try {
        co_return co_await connect(peer, deadline);
    } catch (const boost::system::system_error& failure) {
        if (failure.code() == asio::error::connection_refused) {
            throw peer_not_running("peer " + peer.str() + " does not run");
        }
        throw link_error("peer " + peer.str() + " cannot be reached: " + failure.what(), false);
    } catch (const std::exception& failure) {
        throw link_error("peer " + peer.str() + " cannot be reached: " + failure.what(), false);
    }
}

awaitable<connection_ptr> tcp_peer_link::connect(const endpoint& peer, clock::time_point deadline) {
    boost::beast::tcp_stream stream(m_executor);
    stream.expires_at(std::min(deadline, steady_clock().now() + connect_limit));
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
    const auto oldest = steady_clock().now() - idle_limit;
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

void tcp_peer_link::keep(const endpoint& peer, connection_ptr used) {
    used->stream.expires_never();
    m_idle.push_back({peer, std::move(used), steady_clock().now()});
    if (m_idle.size() > max_idle_connections) {
        m_idle.pop_front();
    }
}

} // namespace

std::unique_ptr<peer_link> make_peer_link(asio::any_io_executor executor,
                                          const peer_secret& secret) {
    return std::make_unique<tcp_peer_link>(std::move(executor), secret);
}

} // namespace oriole::links
