#pragma once

#include "base/metric_registry.h"
#include "base/types/endpoint.h"
#include "links/types/caller_messages.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::links {

/// The API key that a connection has authenticated with. Used to close the connection when that key
/// is revoked.
struct caller_identity {
    std::optional<key_name> key;

    friend bool operator==(const caller_identity&, const caller_identity&) = default;
};

/// Serves the requests of one traffic thread. Called on that thread only.
class caller_handler {
public:
    virtual ~caller_handler() = default;

    /// Answers `request`. Errors are reported as answers, not exceptions. Stores the accepted key
    /// in `identity`.
    [[nodiscard]] virtual boost::asio::awaitable<caller_answer>
    handle(caller_request request, caller_identity& identity) = 0;

    /// Returns the answer to a request that handle() has yet to answer when its connection ends.
    /// The answer of handle() is then discarded.
    [[nodiscard]] virtual caller_answer answer_unfinished(const unfinished_request& request) = 0;
};

/// The executor and request handler of one traffic thread.
struct caller_worker {
    boost::asio::any_io_executor executor;
    caller_handler* handler = nullptr; ///< outlives the server
};

struct caller_limits {
    std::size_t max_connections = 4096;
    std::size_t max_header_bytes = std::size_t{8} * 1024;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    /// A connection that has been idle for longer than this is closed.
    std::chrono::seconds idle_timeout{600};
    /// Time allowed for a complete request after its first byte. Limits how long a slow or
    /// malicious caller can occupy memory and a connection.
    std::chrono::seconds receive_timeout{10};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// Accepts connections of callers and distributes them over the traffic threads. Thread-safe.
class caller_server {
public:
    virtual ~caller_server() = default;

    /// Starts to accept. Throws listen_failed.
    virtual void start() = 0;

    /// Stops accepting connections; each open connection is closed after its next answer.
    virtual void drain() = 0;

    /// Whether connections are still accepted: from start() until a moment after drain().
    [[nodiscard]] virtual bool accepting() const = 0;

    [[nodiscard]] virtual std::size_t open_connections() const = 0;

    /// Requests that have been received and not yet been answered in full.
    [[nodiscard]] virtual std::size_t requests_in_progress() const = 0;

    /// Closes the connections whose identity satisfies `predicate`: immediately when idle,
    /// otherwise after the current answer. `predicate` runs on the traffic threads.
    virtual void close_connections(std::function<bool(const caller_identity&)> predicate) = 0;

    /// Answers the requests in progress without their results, and closes all connections.
    virtual void end_requests() = 0;
};

/// Returns a server for callers that use HTTP/1.1 with JSON bodies. Preconditions: `workers` is not
/// empty; `metrics` outlives the server.
[[nodiscard]] std::shared_ptr<caller_server>
make_http_caller_server(const endpoint& listen, std::vector<caller_worker> workers,
                        const caller_limits& limits, metric_registry& metrics);

} // namespace oriole::links
