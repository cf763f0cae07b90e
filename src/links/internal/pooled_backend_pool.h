#pragma once

#include "base/random_source.h"
#include "contracts/admission_queue.h"
#include "links/backend_pool.h"
#include "links/internal/suspended_coroutine.h"
#include "machines/circuit_breaker.h"
#include "machines/concurrency_limiter.h"
#include "machines/slow_start.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

namespace oriole::links {

/// How a pooled connection is used.
enum class connection_use {
    shared,  ///< carries pipelined single requests
    reserved ///< carries one transaction only
};

/// A connection of the pool. Used on the pool's executor only.
struct pooled_connection {
    std::shared_ptr<backend_link> link;
    connection_use use = connection_use::shared;
    std::size_t assigned_requests = 0; ///< unfinished single requests on this connection
    /// A request on this connection failed or timed out, so the server may still be executing that
    /// request. The connection is not assigned to a transaction any more.
    bool in_doubt = false;
};

/// Coroutines that wait for a connection, in the order that an admission queue determines.
class connection_wait_queue {
public:
    using connection = std::shared_ptr<pooled_connection>;
    using waiter = std::unique_ptr<suspended_coroutine<connection>>;

    explicit connection_wait_queue(std::size_t max_length);

    /// Moves `new_waiter` into the queue. Returns false and leaves it unchanged when the request is
    /// refused.
    [[nodiscard]] bool enqueue(const call_context& context, clock::time_point now,
                               waiter& new_waiter);

    /// Resumes the next waiter with `available`. Returns false when the queue is empty.
    [[nodiscard]] bool assign_next(const connection& available, clock::time_point now);

    /// Resumes with not_admitted the waiters that the admission queue has dropped because their
    /// requests cannot be served in time.
    void fail_expired(clock::time_point now);

    /// Resumes all waiters with not_admitted(`reason`).
    void refuse_all(clock::time_point now, const std::string& reason);

    /// Records how long a request took, from which the queue estimates waiting times.
    void served(clock::duration duration) { m_queue->served(duration); }

    [[nodiscard]] std::size_t size() const noexcept { return m_waiters.size(); }

private:
    std::unique_ptr<contracts::admission_queue> m_queue;
    std::unordered_map<contracts::admission_ticket, waiter> m_waiters;
};

/// Implements backend_pool on top of any connector.
class pooled_backend_pool final : public backend_pool,
                                  public std::enable_shared_from_this<pooled_backend_pool> {
public:
    using connection = connection_wait_queue::connection;

    pooled_backend_pool(boost::asio::any_io_executor executor, backend_connector& connector,
                        machines::backend_server server, std::size_t connection_quota);

    /// Opens the first connections. Called once, by the factory.
    void start();

    [[nodiscard]] boost::asio::awaitable<backend_result> call(backend_call call,
                                                              call_context context) override;

    [[nodiscard]] boost::asio::awaitable<std::shared_ptr<transaction_link>>
    open_transaction(std::uint64_t term, call_context context) override;

    void set_connection_quota(std::size_t connections) override;
    void set_draining(bool draining) override;
    [[nodiscard]] pool_status status() const override;

    /// Returns the connection of a transaction to the pool. With `clean` false, a transaction may
    /// still be open on the connection, so it is closed instead.
    void release(const connection& used, bool clean);

    /// Records that a call on `used` failed at `now`, `duration` after it was sent.
    void record_failure(const connection& used, clock::duration duration, clock::time_point now);

    [[nodiscard]] const boost::asio::any_io_executor& executor() const { return m_executor; }

private:
    using pool_ptr = std::shared_ptr<pooled_backend_pool>;

    boost::asio::awaitable<backend_result> call_on_executor(backend_call call,
                                                            call_context context);
    boost::asio::awaitable<std::shared_ptr<transaction_link>>
    open_on_executor(std::uint64_t term, call_context context);
    boost::asio::awaitable<connection> wait_for_connection(connection_wait_queue& queue,
                                                           call_context context);
    boost::asio::awaitable<backend_result> run_request(connection assigned, backend_call call,
                                                       clock::time_point deadline);
    static boost::asio::awaitable<void> open_connection(pool_ptr self);
    boost::asio::awaitable<std::shared_ptr<backend_link>> connect_and_verify();
    void assign_request(const connection& assigned);
    void finish_request(const connection& assigned);

    void check_admission() const;
    void dispatch_requests(clock::time_point now);
    void dispatch_transactions(clock::time_point now);
    [[nodiscard]] connection shared_connection() const;
    [[nodiscard]] connection find_reservable_connection();
    [[nodiscard]] bool can_reserve() const;
    [[nodiscard]] bool has_single_connection() const;
    void open_circuit(clock::time_point now);
    [[nodiscard]] std::size_t allowed_in_flight(clock::time_point now) const;

    void maintain();
    void schedule_maintenance();
    void remove_closed_connections();
    void close_excess_connections();
    void open_missing_connections(clock::time_point now);
    void publish_status();

    boost::asio::any_io_executor m_executor;
    backend_connector& m_connector;
    machines::backend_server m_server;
    std::unique_ptr<random_source> m_random = make_random_source();
    std::unique_ptr<machines::circuit_breaker> m_breaker =
        machines::make_circuit_breaker(*m_random);
    std::unique_ptr<machines::concurrency_limiter> m_limiter =
        machines::make_gradient_concurrency_limiter();
    std::unique_ptr<machines::slow_start> m_slow_start = machines::make_linear_slow_start();
    connection_wait_queue m_request_queue;
    connection_wait_queue m_transaction_queue;
    std::vector<connection> m_connections;
    std::size_t m_connecting = 0;
    std::size_t m_connection_quota;
    std::size_t m_in_flight = 0; ///< single requests assigned and not finished
    bool m_draining = false;
    clock::time_point m_next_connect_at; ///< no connection is opened before this time
    boost::asio::steady_timer m_timer;

    // Copies of the state for status(), which may be called on any thread.
    std::atomic<std::size_t> m_published_connections{0};
    std::atomic<std::size_t> m_published_quota{0};
    std::atomic<std::size_t> m_published_queued{0};
    std::atomic<std::size_t> m_published_in_flight{0};
    std::atomic<std::size_t> m_published_limit{0};
    std::atomic<bool> m_published_circuit_open{false};
    std::atomic<std::int64_t> m_published_latency_us{0};
};

} // namespace oriole::links
