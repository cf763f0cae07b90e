#pragma once

#include "base/types/endpoint.h"
#include "faults/fault_settings.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace oriole::standins {

/// Forwards TCP connections from a listening address to a target and injects faults. Runs on the
/// thread of its io_context.
class fault_proxy {
public:
    virtual ~fault_proxy() = default;

    /// The address at which the proxy listens.
    [[nodiscard]] virtual endpoint address() const = 0;

    /// Applies to open connections, too.
    virtual void set_faults(const fault_settings& settings) = 0;
};

/// The proxy listens when this returns. Throws boost::system::system_error when the address is not
/// available. Precondition: `io` runs on one thread and outlives the proxy.
[[nodiscard]] std::unique_ptr<fault_proxy>
make_fault_proxy(boost::asio::io_context& io, const endpoint& listen, const endpoint& target);

/// HTTP server for GET and PUT /faults: reads and sets the faults of a group of proxies.
class fault_control {
public:
    virtual ~fault_control() = default;

    [[nodiscard]] virtual endpoint address() const = 0;

    /// Adds `proxy` to the group. Precondition: `proxy` outlives this object.
    virtual void add(fault_proxy& proxy) = 0;
};

/// The server listens when this returns. Throws boost::system::system_error when the address is not
/// available. Precondition: `io` runs on one thread and outlives the server.
[[nodiscard]] std::unique_ptr<fault_control> make_fault_control(boost::asio::io_context& io,
                                                                const endpoint& listen);

} // namespace oriole::standins
