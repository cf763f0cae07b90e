#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"
#include "base/types/name.h"
#include "sessions/types/server_command.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace oriole::routing {

/// The connection to a backend server failed, or its answer could not be parsed.
class server_unreachable : public error {
public:
    using error::error;
};

/// The backend server did not answer within the time limit.
class server_timeout : public server_unreachable {
public:
    using server_unreachable::server_unreachable;
};

/// What the backend server sent cannot be the answer to the command that is due. Servers may repeat
/// answers, and nothing in an answer names its command, so the connection says nothing certain
/// about that command any more.
class unexpected_answer : public server_unreachable {
public:
    using server_unreachable::server_unreachable;
};

/// Nothing was sent: the connection had ended, carried an answer that is not due, or cannot carry
/// one of the messages.
class connection_unusable : public server_unreachable {
public:
    using server_unreachable::server_unreachable;
};

/// The account that a connection is opened for, and the server that is expected at the address.
struct connection_request {
    endpoint address;
    service_name service;
    account_name account;
    server_name server;

    friend bool operator==(const connection_request&, const connection_request&) = default;
};

/// One connection to a backend server. The server answers commands, that is, protocol messages, in
/// the sequence in which they were sent. Not thread-safe. checked_connector turns an exception
/// other than server_unreachable into unexpected_answer.
class server_channel {
public:
    virtual ~server_channel() = default;

    /// Connects and announces the account. The answer's code is ok, wrong_server or
    /// connection_limit, among others. Throws server_unreachable.
    [[nodiscard]] virtual boost::asio::awaitable<sessions::server_answer>
    open(connection_request request, clock::duration limit) = 0;

    /// Sends the commands in one write. Throws server_unreachable.
    [[nodiscard]] virtual boost::asio::awaitable<void>
    send(std::vector<sessions::server_command> commands, clock::duration limit) = 0;

    /// Receives the answer to the oldest unanswered command. Throws server_unreachable, after which
    /// the connection cannot be used any more.
    [[nodiscard]] virtual boost::asio::awaitable<sessions::server_answer>
    receive(clock::duration limit) = 0;

    /// Returns whether no further statement may use the connection, for example because the server
    /// has closed it or sent unsolicited data. Precondition: all commands have been answered.
    [[nodiscard]] virtual bool broken() = 0;

    /// Returns whether the last error can only be that of its command, and not an earlier answer
    /// that the server has repeated.
    [[nodiscard]] virtual bool error_is_certain() const = 0;

    /// Returns whether an error was received since the connection was opened or confirmed, so that
    /// it must be confirmed before its next use.
    [[nodiscard]] virtual bool needs_confirmation() const = 0;

    /// Checks that no answer to an earlier command is outstanding, and so that the last error was
    /// its command's own. Rolls back an open transaction, and drops the session values and prepared
    /// statements. Throws server_unreachable, after which the connection cannot be used any more.
    /// Precondition: all commands have been answered.
    [[nodiscard]] virtual boost::asio::awaitable<void> confirm(clock::duration limit) = 0;

    /// Returns whether received data are waiting to be read.
    [[nodiscard]] virtual bool has_input() = 0;

    virtual void close() noexcept = 0;
};

class server_connector {
public:
    virtual ~server_connector() = default;

    [[nodiscard]] virtual std::shared_ptr<server_channel>
    make_channel(boost::asio::any_io_executor executor) = 0;
};

} // namespace oriole::routing
