#pragma once

#include "base/types/endpoint.h"
#include "machines/resource_account.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace oriole::links {

/// Supplies the contents of the admin endpoints. Called on the server's executor.
class admin_handler {
public:
    virtual ~admin_handler() = default;

    /// Whether the load balancer should route callers to this instance.
    [[nodiscard]] virtual bool ready() const = 0;

    /// Metrics in the Prometheus text exposition format.
    [[nodiscard]] virtual std::string metrics() const = 0;

    /// The instance's state as JSON.
    [[nodiscard]] virtual std::string status() const = 0;
};

/// Serves GET /healthz, /readyz, /metrics and /status over HTTP/1.1.
class admin_server {
public:
    virtual ~admin_server() = default;

    /// Throws listen_failed.
    virtual void start() = 0;

    virtual void stop() = 0;
};

/// Without an account, the number of connections is not limited. Precondition: `handler` outlives
/// the server; `executor` runs on one thread.
[[nodiscard]] std::shared_ptr<admin_server>
make_http_admin_server(boost::asio::any_io_executor executor, const endpoint& listen,
                       const admin_handler& handler,
                       std::shared_ptr<machines::resource_account> resources = nullptr);

} // namespace oriole::links
