#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"
#include "base/types/name.h"
#include "sessions/types/server_order.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace oriole::entry {

/// The connection to a server failed, or its answer could not be read.
class server_unreachable : public error {
public:
    using error::error;
};

/// No answer came in time.
class server_silent : public server_unreachable {
public:
    using server_unreachable::server_unreachable;
};

/// Whom a connection is for and which server is expected at its end.
struct server_introduction {
    endpoint address;
    service_name service;
    account_name account;
    server_name server;

    friend bool operator==(const server_introduction&, const server_introduction&) = default;
};

/// One connection to a backend server. Orders are answered in the order they were sent. Not
/// thread-safe.
class server_channel {
public:
    virtual ~server_channel() = default;

    /// Connects and introduces the account. The answer's code is ok, wrong_server or
    /// connection_limit, among others. Throws server_unreachable.
    [[nodiscard]] virtual boost::asio::awaitable<sessions::server_answer>
    open(server_introduction who, clock::duration limit) = 0;

    /// Sends the orders in one write. Throws server_unreachable.
    [[nodiscard]] virtual boost::asio::awaitable<void>
    send(std::vector<sessions::server_order> orders, clock::duration limit) = 0;

    /// The answer to the oldest order that has none. Throws server_unreachable, after which the
    /// connection is of no more use.
    [[nodiscard]] virtual boost::asio::awaitable<sessions::server_answer>
    receive(clock::duration limit) = 0;

    /// Whether the server has closed the connection or sent something unasked.
    [[nodiscard]] virtual bool broken() = 0;

    virtual void close() noexcept = 0;
};

class server_connector {
public:
    virtual ~server_connector() = default;

    [[nodiscard]] virtual std::shared_ptr<server_channel>
    make_channel(boost::asio::any_io_executor executor) = 0;
};

} // namespace oriole::entry
