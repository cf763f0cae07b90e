#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"
#include "machines/resource_account.h"
#include "sessions/types/server_command.h"
#include "sessions/types/statement.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriole::entry {

/// The client closed its connection or the connection broke.
class caller_lost : public error {
public:
    using error::error;
};

/// The database and the API key that a client sends when it connects.
struct session_request {
    std::string database;
    std::string key;

    friend bool operator==(const session_request&, const session_request&) = default;
};

/// The connection of one client. Sending throws caller_lost when the connection has ended. Not
/// thread-safe; used on the traffic thread.
class caller_channel {
public:
    virtual ~caller_channel() = default;

    /// Reports from now on what the channel keeps of the client's input and of its answers, and
    /// ends the connection when that is refused. A channel that keeps neither ignores it.
    virtual void account_to(const std::shared_ptr<machines::resource_holding>& /*holding*/) {}

    /// Receives the client's connect request; nullopt when the client disconnected or sent any
    /// other message.
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<session_request>> accept() = 0;

    /// Waits up to `limit` for input. Returns true when input has arrived or the client has
    /// disconnected, false on time-out.
    [[nodiscard]] virtual boost::asio::awaitable<bool> wait_for_input(clock::duration limit) = 0;

    /// Receives the next statement; nullopt when the client has disconnected or ended the session.
    /// A statement that cannot be parsed has the kind malformed.
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<sessions::statement>> next() = 0;

    /// Confirms to the client that its session is open.
    [[nodiscard]] virtual boost::asio::awaitable<void> confirm_session() = 0;

    /// Rejects the session with `code` and ends the stream with it.
    [[nodiscard]] virtual boost::asio::awaitable<void> refuse(sessions::answer_code code) = 0;

    /// Sends the complete answer to one statement.
    [[nodiscard]] virtual boost::asio::awaitable<void> answer(sessions::server_answer answer) = 0;

    /// Sends the complete answer to one statement and ends the stream with it, so that a client
    /// that has read the answer can see that no other will follow.
    [[nodiscard]] virtual boost::asio::awaitable<void>
    answer_and_end(sessions::server_answer answer) = 0;

    /// Returns whether unread bytes of a further statement have arrived.
    [[nodiscard]] virtual bool has_input() = 0;

    /// Bytes of the client that wait in the socket. A channel without a socket has none.
    [[nodiscard]] virtual std::size_t unread_bytes() { return 0; }

    /// Discards what the client sends until it closes its connection, up to `limit`. Closing a
    /// connection with unread input resets it, and the end of the last answer may be lost.
    /// Precondition: the stream to the client has ended.
    [[nodiscard]] virtual boost::asio::awaitable<void> wait_for_close(clock::duration limit) = 0;

    virtual void close() noexcept = 0;
};

/// Accepts connections of clients. Not thread-safe.
class caller_listener {
public:
    using handler = std::function<void(std::shared_ptr<caller_channel>)>;

    virtual ~caller_listener() = default;

    /// Throws links::listen_failed.
    virtual void start(handler on_caller) = 0;

    virtual void stop() = 0;
};

} // namespace oriole::entry
