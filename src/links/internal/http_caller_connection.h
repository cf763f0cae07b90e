#pragma once

#include "base/clock.h"
#include "links/caller_server.h"
#include "links/internal/http_caller_codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <memory>

namespace oriole::links {

/// State shared by all connections of a caller server. `limits` does not change once the server has
/// started; the other members are atomic.
struct caller_server_state {
    caller_limits limits;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> open_connections{0};
    std::atomic<std::size_t> requests_in_progress{0};
};

/// The connection of one caller. Used only on the executor of its worker.
class http_caller_connection : public std::enable_shared_from_this<http_caller_connection> {
public:
    http_caller_connection(boost::asio::ip::tcp::socket socket, caller_handler& handler,
                           std::shared_ptr<caller_server_state> state);
    ~http_caller_connection();
    http_caller_connection(const http_caller_connection&) = delete;
    http_caller_connection& operator=(const http_caller_connection&) = delete;

    /// Serves requests until the connection ends.
    [[nodiscard]] boost::asio::awaitable<void> run();

    [[nodiscard]] const caller_identity& identity() const noexcept { return m_identity; }

    /// Closes the connection: immediately when idle, otherwise after the current answer.
    void close_when_idle();

    /// Answers the running request without its result and closes the connection.
    void end_now();

    /// Closes the connection when it has been idle, receiving a request or closing for longer than
    /// allowed.
    void close_if_expired(clock::time_point now);

private:
    enum class phase { idle, receiving, answering, closing };

    [[nodiscard]] boost::asio::awaitable<bool> serve_next_request();
    [[nodiscard]] boost::asio::awaitable<bool> answer_request(const http_request& message);
    /// Sends the answer of a request that end_now() has ended, and closes the connection.
    [[nodiscard]] boost::asio::awaitable<void> finish(caller_answer answer, unsigned version);
    [[nodiscard]] boost::asio::awaitable<bool> send(const caller_answer& answer, unsigned version,
                                                    bool keep_alive);
    [[nodiscard]] boost::asio::awaitable<void> drain_and_close();
    /// Whether a request has arrived on a connection whose wait was cancelled to close it; such a
    /// request is still answered.
    [[nodiscard]] bool has_received_bytes() const;
    void set_phase(phase next);

    boost::asio::ip::tcp::socket m_socket;
    caller_handler& m_handler;
    std::shared_ptr<caller_server_state> m_state;
    boost::beast::flat_buffer m_buffer;
    caller_identity m_identity;
    phase m_phase = phase::idle;
    clock::time_point m_phase_since;
    bool m_close_requested = false;
    std::optional<unfinished_request> m_running; ///< the request whose answer is awaited
    unsigned m_running_version = 0;              ///< its HTTP version
    /// Another coroutine than run() sends the last answer and closes the connection.
    bool m_closed_by_finish = false;
};

} // namespace oriole::links
