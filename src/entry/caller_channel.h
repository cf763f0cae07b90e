#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"
#include "sessions/types/server_order.h"
#include "sessions/types/statement.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriole::entry {

/// The caller's connection has ended.
class caller_lost : public error {
public:
    using error::error;
};

/// What a caller asks for when it connects.
struct session_request {
    std::string database;
    std::string key;

    friend bool operator==(const session_request&, const session_request&) = default;
};

/// One caller's connection. Sending throws caller_lost when it has ended. Not thread-safe; used on
/// the traffic thread.
class caller_channel {
public:
    virtual ~caller_channel() = default;

    /// The caller's first message; nullopt when it left or sent something else.
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<session_request>> accept() = 0;

    /// Whether input has arrived, or the caller has left, within the limit.
    [[nodiscard]] virtual boost::asio::awaitable<bool> wait_for_input(clock::duration limit) = 0;

    /// The next statement; nullopt when the caller has left or ended the session. Statements that
    /// cannot be read have the kind malformed.
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<sessions::statement>> next() = 0;

    /// Tells the caller that its session is open.
    [[nodiscard]] virtual boost::asio::awaitable<void> welcome() = 0;

    /// Refuses the session and closes the connection.
    [[nodiscard]] virtual boost::asio::awaitable<void> refuse(sessions::answer_code code) = 0;

    /// Sends a whole answer.
    [[nodiscard]] virtual boost::asio::awaitable<void> answer(sessions::server_answer answer) = 0;

    /// Whether bytes of a further statement have arrived.
    [[nodiscard]] virtual bool has_input() = 0;

    virtual void close() noexcept = 0;
};

/// Accepts callers. Not thread-safe.
class caller_listener {
public:
    using handler = std::function<void(std::shared_ptr<caller_channel>)>;

    virtual ~caller_listener() = default;

    /// Throws boost::system::system_error when the address cannot be bound.
    virtual void start(handler on_caller) = 0;

    virtual void stop() = 0;
};

} // namespace oriole::entry
