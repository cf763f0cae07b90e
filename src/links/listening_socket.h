#pragma once

#include "base/errors.h"
#include "base/types/endpoint.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string_view>

namespace oriole::links {

/// The process cannot listen on an address of its settings.
class listen_failed : public error {
public:
    using error::error;
};

/// Another socket uses the address: a process that has yet to end, or an outgoing connection that
/// was given the port.
class address_in_use : public listen_failed {
public:
    using listen_failed::listen_failed;
};

/// Opens the acceptor and lets it listen on the address. `role` is what the address is for, as in
/// the settings; error messages name it. Throws address_in_use or listen_failed. Not thread-safe.
void listen(boost::asio::ip::tcp::acceptor& acceptor, const endpoint& address,
            std::string_view role);

/// Accepts a connection that a client has established already, without waiting; nullopt without
/// one. The connection uses `executor`. Closing an acceptor resets the connections that it has not
/// accepted, with what their clients have sent. Not thread-safe.
[[nodiscard]] std::optional<boost::asio::ip::tcp::socket>
accept_waiting(boost::asio::ip::tcp::acceptor& acceptor,
               const boost::asio::any_io_executor& executor);

/// Calls `serve`, which listens on the process's addresses. When it throws address_in_use, waits
/// and calls it again. Returns when `serve` returns, or on SIGTERM or SIGINT during the wait. Other
/// exceptions pass through. Precondition: hold_stop_signals() was called, and `serve` has undone
/// what it started when it throws address_in_use.
void serve_when_addresses_are_free(const std::function<void()>& serve);

} // namespace oriole::links
