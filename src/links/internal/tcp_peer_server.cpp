#include "links/peer_link.h"

#include "links/internal/peer_connection.h"
#include "links/internal/rpc_server_codec.h"
#include "links/internal/stream_holder.h"
#include "links/listening_socket.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <map>
#include <set>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds handshake_timeout{2};
constexpr std::chrono::seconds idle_timeout{120};

/// About twice the fleet's target of 490 instances. Connections beyond this are closed immediately,
/// which limits the memory that unauthenticated peers can occupy.
constexpr std::size_t max_connections = 1024;

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};

constexpr int refusals_per_log_line = 100;

/// Shorter calls run without a reservation of memory.
constexpr std::size_t min_reserved_bytes = std::size_t{64} << 10U;

/// Accepts peer connections and serves their calls. Shared by the coroutines of all connections, so
/// it exists until the last of them has ended.
class peer_acceptor : public std::enable_shared_from_this<peer_acceptor> {
public:
    peer_acceptor(asio::any_io_executor executor, const endpoint& address, std::string_view role,
                  const peer_key& key, port_account account)
        : m_executor(std::move(executor)),
          m_acceptor(m_executor),
          m_key(key),
          m_account(std::move(account)) {
        links::listen(m_acceptor, address, role);
    }

    void start() { asio::co_spawn(m_executor, accept_loop(shared_from_this()), asio::detached); }

    void stop() {
        m_stopped = true;
        error_code ignored;
        m_acceptor.close(ignored);
        for (auto* connection : m_connections) {
            connection->stream.close();
        }
    }

    void add_method(const std::string& name, peer_server::handler handle) {
        m_protocol.add_method(name);
        m_handlers.emplace(name, std::move(handle));
    }

    [[nodiscard]] endpoint address() const {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

private:
    static awaitable<void> accept_loop(std::shared_ptr<peer_acceptor> self);
    static awaitable<void> serve(std::shared_ptr<peer_acceptor> self, tcp::socket socket);
    awaitable<void> serve_calls(peer_connection& connection);
    awaitable<std::string> answer(std::string request);
    /// Answers the call if there is memory for its copies.
    awaitable<std::string> answer_within_memory(peer_connection& connection,
                                                const std::string& peer, std::string request);

    asio::any_io_executor m_executor;
    tcp::acceptor m_acceptor;
    peer_key m_key;
    port_account m_account;
    rpc_server_codec m_protocol;
    std::map<std::string, peer_server::handler> m_handlers;
    std::set<peer_connection*> m_connections;
    bool m_stopped = false;
};

awaitable<void> peer_acceptor::accept_loop(std::shared_ptr<peer_acceptor> self) {
    while (!self->m_stopped) {
        error_code failed;
        tcp::socket socket =
            co_await self->m_acceptor.async_accept(asio::redirect_error(use_awaitable, failed));
        if (failed && !self->m_stopped) {
            asio::steady_timer delay(self->m_executor, accept_retry_delay);
            co_await delay.async_wait(use_awaitable);
        }
        if (!failed && self->m_connections.size() < max_connections) {
            asio::co_spawn(self->m_executor, serve(self, std::move(socket)), asio::detached);
        }
    }
}

awaitable<void> peer_acceptor::serve(std::shared_ptr<peer_acceptor> self, tcp::socket socket) {
    peer_connection connection(boost::beast::tcp_stream(std::move(socket)), peer_side::server,
                               self->m_key);
    self->m_connections.insert(&connection);
    const auto holder = std::make_shared<stream_holder>(connection.stream);
    const stream_attachment attachment(holder);
    if (self->m_account.resources != nullptr) {
        connection.holding = self->m_account.resources->open(self->m_account.port, holder);
        if (connection.holding == nullptr) {
            connection.stream.close();
        }
    }
    try {
        co_await self->serve_calls(connection);
    } catch (const boost::system::system_error&) {
        // The peer closed the connection or failed. It opens a new one when needed.
        connection.stream.close();
    } catch (const std::exception& refusal) {
        LOG_EVERY_N(WARNING, refusals_per_log_line)
            << "peer connection closed; reason=\"" << refusal.what() << "\"";
    }
    self->m_connections.erase(&connection);
}

awaitable<void> peer_acceptor::serve_calls(peer_connection& connection) {
    connection.stream.expires_after(handshake_timeout);
    connection.stream.socket().set_option(tcp::no_delay(true));
    const std::string hello = co_await read_peer_frame(connection, peer_hello_bytes);
    connection.session.accept_hello(hello);
    std::string answered = connection.session.hello();
    co_await write_peer_frame(connection, std::move(answered));
    std::size_t limit = max_first_peer_call_bytes + peer_seal_bytes;
    // Connections from one machine share a part of each bound. The blank keeps the name apart from
    // those of accounts.
    bool first_call = true;
    const auto peer =
        "instance " + connection.stream.socket().remote_endpoint().address().to_string();
    while (!m_stopped) {
        const std::string frame = co_await read_peer_frame(connection, limit);
        std::string request = connection.session.open(frame);
        limit = max_peer_message_bytes + peer_seal_bytes;
        if (connection.holding != nullptr && std::exchange(first_call, false)) {
            connection.holding->authenticate(peer);
        }
        std::string text = co_await answer_within_memory(connection, peer, std::move(request));
        if (!keep_bytes(connection, 0)) {
            co_return; // The connection is being closed.
        }
        connection.stream.expires_after(idle_timeout);
        std::string sealed = connection.session.seal(text);
        co_await write_peer_frame(connection, std::move(sealed));
    }
}

awaitable<std::string> peer_acceptor::answer_within_memory(peer_connection& connection,
                                                           const std::string& peer,
                                                           std::string request) {
    if (m_account.resources == nullptr || request.size() < min_reserved_bytes) {
        co_return co_await answer(std::move(request));
    }
    const auto memory = m_account.resources->try_run(machines::running_kind::statement, peer,
                                                     request.size() * machines::statement_copies);
    if (memory == nullptr) {
        connection.holding->count_refusal(machines::refusal_reason::running_memory);
        co_return m_protocol.answer(request, {true, "no memory for the call", true});
    }
    co_return co_await answer(std::move(request));
}

awaitable<std::string> peer_acceptor::answer(std::string request) {
    rpc_outcome result{true, "the request is not a single call of a known method", true};
    const auto call = m_protocol.read(request);
    if (call) {
        try {
            const auto& handle = m_handlers.at(call->method);
            result.text = co_await handle(call->params);
            result.failed = false;
        } catch (const peer_call_refused& refusal) {
            result.text = refusal.what();
        } catch (const std::exception& failure) {
            result.text = failure.what();
            result.refused = false;
        }
    }
    auto text = m_protocol.answer(request, result);
    if (text.size() > max_peer_message_bytes) {
        // The caller would close the connection without a reason.
        text = m_protocol.answer(request, {true, "the answer is longer than the maximum"});
    }
    co_return text;
}

class tcp_peer_server final : public peer_server {
public:
    explicit tcp_peer_server(std::shared_ptr<peer_acceptor> acceptor)
        : m_acceptor(std::move(acceptor)) {
        m_acceptor->start();
    }

    ~tcp_peer_server() override { m_acceptor->stop(); }

    tcp_peer_server(const tcp_peer_server&) = delete;
    tcp_peer_server& operator=(const tcp_peer_server&) = delete;

    void add_method(const std::string& name, handler handle) override {
        m_acceptor->add_method(name, std::move(handle));
    }

    [[nodiscard]] endpoint address() const override { return m_acceptor->address(); }

    void stop() override { m_acceptor->stop(); }

private:
    std::shared_ptr<peer_acceptor> m_acceptor;
};

} // namespace

std::unique_ptr<peer_server> make_peer_server(asio::any_io_executor executor,
                                              const endpoint& listen, std::string_view role,
                                              const peer_secret& secret, port_account account) {
    return std::make_unique<tcp_peer_server>(std::make_shared<peer_acceptor>(
        std::move(executor), listen, role, derive_peer_key(secret), std::move(account)));
}

} // namespace oriole::links
