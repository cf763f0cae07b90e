#pragma once

#include "base/types/endpoint.h"
#include "platform/fault_plan.h"
#include "platform/platform_store.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace oriole::standins {

struct platform_options {
    endpoint listen{"127.0.0.1", 0}; ///< port 0: chosen by the system
    std::chrono::milliseconds list_lag{0};
    platform_faults faults;

    friend bool operator==(const platform_options&, const platform_options&) = default;
};

/// Simulates the platform's API for objects and instances over HTTP. Runs on the thread of its
/// io_context.
class platform_server {
public:
    virtual ~platform_server() = default;

    /// The address at which the server listens.
    [[nodiscard]] virtual endpoint address() const = 0;

    /// Replaces the injected faults, as PUT /v1/faults does.
    virtual void set_faults(const platform_faults& faults) = 0;

    /// Stops accepting connections and closes the open ones.
    virtual void stop() = 0;
};

/// The server listens when this returns. Throws boost::system::system_error when the address is not
/// available. Precondition: `io` runs on one thread and outlives the server.
[[nodiscard]] std::unique_ptr<platform_server>
make_platform_server(boost::asio::io_context& io, const platform_options& options);

} // namespace oriole::standins
