#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "links/backend_link.h"
#include "machines/types/backend_server.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace oriole::links {

/// The pool rejected the request before sending anything to the server, so it did not run.
class not_admitted : public error {
public:
    using error::error;
};

/// The server refused to open a transaction; no statement ran.
class begin_refused : public error {
public:
    explicit begin_refused(refusal_answer refusal)
        : error(refusal.message), m_refusal(std::move(refusal)) {}

    [[nodiscard]] const refusal_answer& refusal() const noexcept { return m_refusal; }

private:
    refusal_answer m_refusal;
};

/// The account on whose behalf a call is made, its weight in the queue, and its deadline.
struct call_context {
    account_name account;
    double account_weight = 1.0; ///< the account's relative share when requests have to queue
    double cost = 1.0;           ///< relative cost of this kind of request (read, write)
    clock::time_point deadline;

    friend bool operator==(const call_context&, const call_context&) = default;
};

struct pool_status {
    std::size_t connections = 0;
    std::size_t connection_quota = 0;  ///< connections that this instance may open
    std::size_t queued = 0;            ///< requests and transactions that wait for a connection
    std::size_t in_flight = 0;         ///< single requests sent and not answered yet
    std::size_t concurrency_limit = 0; ///< current upper limit of in_flight
    bool circuit_open = false; ///< requests are rejected until a probe of the server succeeds
    std::chrono::microseconds latency{0}; ///< smoothed time from sending to the answer

    friend bool operator==(const pool_status&, const pool_status&) = default;
};

/// A pooled connection that is reserved for one transaction. If it is destroyed before a commit or
/// rollback has been answered, the connection is closed, which makes the server roll back, and is
/// never used for another caller.
class transaction_link {
public:
    virtual ~transaction_link() = default;

    /// Same as backend_link::call. Once a commit or rollback has been answered, the connection
    /// returns to its pool.
    [[nodiscard]] virtual boost::asio::awaitable<backend_result>
    call(backend_call call, clock::time_point deadline) = 0;
};

/// This instance's connections to the statement port of one backend server, with a queue that
/// shares them fairly among accounts. Single requests are pipelined on shared connections; a
/// transaction reserves a connection for itself. Thread-safe: calls run on the pool's executor, and
/// results are delivered on the executor of the calling coroutine.
class backend_pool {
public:
    virtual ~backend_pool() = default;

    /// Throws not_admitted when the request is rejected before it is sent, for example because it
    /// cannot be served before its deadline; link_error when the connection fails or times out.
    [[nodiscard]] virtual boost::asio::awaitable<backend_result> call(backend_call call,
                                                                      call_context context) = 0;

    /// Opens a transaction on a server that must be primary in `term`. Throws begin_refused when
    /// the server refuses, otherwise the same exceptions as call().
    [[nodiscard]] virtual boost::asio::awaitable<std::shared_ptr<transaction_link>>
    open_transaction(std::uint64_t term, call_context context) = 0;

    /// Sets how many connections may be open; excess ones are closed once they are idle.
    virtual void set_connection_quota(std::size_t connections) = 0;

    /// While draining, queued and new requests fail with not_admitted; requests already sent
    /// finish.
    virtual void set_draining(bool draining) = 0;

    /// A snapshot that is at most about 200 ms old.
    [[nodiscard]] virtual pool_status status() const = 0;
};

/// Preconditions: `connector` outlives the pool, and `executor` runs on one thread.
[[nodiscard]] std::shared_ptr<backend_pool> make_backend_pool(boost::asio::any_io_executor executor,
                                                              backend_connector& connector,
                                                              machines::backend_server server,
                                                              std::size_t connection_quota);

} // namespace oriole::links
