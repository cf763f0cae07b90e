#include "links/internal/pooled_backend_pool.h"

#include "links/internal/pooled_transaction_link.h"

#include <boost/asio/co_spawn.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// At 16,000 requests/s per server this queue holds 250 ms of work; deadlines usually cause
/// rejections before it is full.
constexpr std::size_t max_queued_requests = 4096;
constexpr std::size_t max_queued_transactions = 1024;

/// Timeouts after a shorter wait are not counted against the server: they result from a short
/// deadline of the caller.
constexpr milliseconds min_conclusive_wait{100};

} // namespace

pooled_backend_pool::pooled_backend_pool(asio::any_io_executor executor,
                                         backend_connector& connector,
                                         machines::backend_server server,
                                         std::size_t connection_quota)
    : m_executor(std::move(executor)),
      m_connector(connector),
      m_server(std::move(server)),
      m_request_queue(max_queued_requests),
      m_transaction_queue(max_queued_transactions),
      m_connection_quota(connection_quota),
      m_timer(m_executor) {}

void pooled_backend_pool::start() {
    asio::post(m_executor, [self = shared_from_this()] { self->maintain(); });
}

// Requests

asio::awaitable<backend_result> pooled_backend_pool::call(backend_call call, call_context context) {
    const auto caller_executor = co_await asio::this_coro::executor;
    const auto self = shared_from_this();
    auto operation = call_on_executor(std::move(call), std::move(context));
    if (caller_executor == m_executor) {
        co_return co_await std::move(operation);
    }
    co_return co_await asio::co_spawn(m_executor, std::move(operation), asio::use_awaitable);
}

asio::awaitable<backend_result> pooled_backend_pool::call_on_executor(backend_call call,
                                                                      call_context context) {
    const auto now = steady_clock().now();
    const auto self = shared_from_this();
    check_admission();
    const auto deadline = context.deadline;
    auto assigned = shared_connection();
    const bool free = m_request_queue.size() == 0 && m_in_flight < allowed_in_flight(now);
    if (assigned && free && deadline > now) {
        assign_request(assigned);
    } else {
        assigned = co_await wait_for_connection(m_request_queue, std::move(context));
    }
    co_return co_await run_request(std::move(assigned), std::move(call), deadline);
}

// Precondition: the request has been assigned to the connection.
asio::awaitable<backend_result> pooled_backend_pool::run_request(connection assigned,
                                                                 backend_call call,
                                                                 clock::time_point deadline) {
    const auto sent_at = steady_clock().now();
    const std::size_t in_flight = m_in_flight;
    std::exception_ptr failure;
    try {
        backend_result result = co_await assigned->link->call(std::move(call), deadline);
        const auto now = steady_clock().now();
        finish_request(assigned);
        m_limiter->answered(now - sent_at, in_flight, now);
        m_request_queue.served(now - sent_at);
        m_breaker->succeeded();
        dispatch_requests(now);
        co_return result;
    } catch (const link_error&) {
        failure = std::current_exception();
    }
    finish_request(assigned);
    const auto now = steady_clock().now();
    record_failure(assigned, now - sent_at, now);
    dispatch_requests(now);
    std::rethrow_exception(failure);
}

// Counts the request for its connection even before its coroutine resumes, so that no transaction
// reserves the connection in between.
void pooled_backend_pool::assign_request(const connection& assigned) {
    ++assigned->assigned_requests;
    ++m_in_flight;
}

void pooled_backend_pool::finish_request(const connection& assigned) {
    --assigned->assigned_requests;
    --m_in_flight;
    if (assigned->assigned_requests == 0 && m_transaction_queue.size() > 0) {
        dispatch_transactions(steady_clock().now());
    }
}

void pooled_backend_pool::record_failure(const connection& used, clock::duration duration,
                                         clock::time_point now) {
    used->in_doubt = true;
    const bool lost = !used->link->usable();
    if (!lost && duration < min_conclusive_wait) {
        return;
    }
    m_limiter->timed_out(now);
    const bool was_open = m_breaker->open();
    m_breaker->failed(now);
    if (m_breaker->open() && !was_open) {
        open_circuit(now);
    }
    remove_closed_connections();
    open_missing_connections(now);
    schedule_maintenance();
}

// Refuses all queued requests and closes the shared connections. If these stayed open, a server
// that hangs would refuse the connection of the probe, which would exceed the connection quota.
void pooled_backend_pool::open_circuit(clock::time_point now) {
    LOG(WARNING) << "circuit opened server=" << m_server.name()
                 << " consequence=\"requests are refused until a probe succeeds\"";
    m_request_queue.refuse_all(now, "the backend server does not answer");
    m_transaction_queue.refuse_all(now, "the backend server does not answer");
    const auto connections = m_connections;
    for (const connection& pooled : connections) {
        if (pooled->use == connection_use::shared) {
            pooled->link->close();
        }
    }
}

void pooled_backend_pool::check_admission() const {
    if (m_draining) {
        throw not_admitted("the backend server is being taken out of service");
    }
    if (m_connection_quota == 0) {
        throw not_admitted("the instance has no connection to the backend server");
    }
    if (m_breaker->open()) {
        throw not_admitted("the backend server does not answer");
    }
}

asio::awaitable<pooled_backend_pool::connection>
pooled_backend_pool::wait_for_connection(connection_wait_queue& queue, call_context context) {
    auto store = [this, &queue, &context](connection_wait_queue::waiter new_waiter) {
        if (!queue.enqueue(context, steady_clock().now(), new_waiter)) {
            const not_admitted failure("the backend server cannot serve the request in time");
            new_waiter->complete_later(std::make_exception_ptr(failure), nullptr);
            return;
        }
        const auto now = steady_clock().now();
        dispatch_requests(now);
        dispatch_transactions(now);
        schedule_maintenance();
    };
    co_return co_await suspend<connection>(std::move(store));
}

void pooled_backend_pool::dispatch_requests(clock::time_point now) {
    while (m_request_queue.size() > 0 && m_in_flight < allowed_in_flight(now)) {
        const auto assigned = shared_connection();
        if (!assigned || !m_request_queue.assign_next(assigned, now)) {
            return;
        }
        assign_request(assigned);
    }
}

std::size_t pooled_backend_pool::allowed_in_flight(clock::time_point now) const {
    const auto limit = static_cast<double>(m_limiter->limit()) * m_slow_start->factor(now);
    return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

pooled_backend_pool::connection pooled_backend_pool::shared_connection() const {
    // The only connection is left to a waiting transaction, which would otherwise never get it.
    if (m_transaction_queue.size() > 0 && has_single_connection()) {
        return nullptr;
    }
    connection best;
    for (const connection& pooled : m_connections) {
        const bool candidate = pooled->use == connection_use::shared && pooled->link->usable();
        if (candidate && (!best || pooled->assigned_requests < best->assigned_requests)) {
            best = pooled;
        }
    }
    return best;
}

// Transactions

asio::awaitable<std::shared_ptr<transaction_link>>
pooled_backend_pool::open_transaction(std::uint64_t term, call_context context) {
    const auto caller_executor = co_await asio::this_coro::executor;
    const auto self = shared_from_this();
    auto operation = open_on_executor(term, std::move(context));
    if (caller_executor == m_executor) {
        co_return co_await std::move(operation);
    }
    co_return co_await asio::co_spawn(m_executor, std::move(operation), asio::use_awaitable);
}

asio::awaitable<std::shared_ptr<transaction_link>>
pooled_backend_pool::open_on_executor(std::uint64_t term, call_context context) {
    const auto self = shared_from_this();
    check_admission();
    const auto deadline = context.deadline;
    auto reserved = co_await wait_for_connection(m_transaction_queue, std::move(context));
    // From here on the transaction link returns the connection to the pool, even when begin fails.
    auto opened = std::make_shared<pooled_transaction_link>(shared_from_this(), reserved);
    backend_call begin = begin_request{term};
    auto result = co_await opened->call(std::move(begin), deadline);
    if (const auto* refusal = std::get_if<refusal_answer>(&result)) {
        throw begin_refused(*refusal);
    }
    if (!std::holds_alternative<accepted_answer>(result)) {
        reserved->link->close();
        throw link_error("the backend server answered begin with an unexpected message", true);
    }
    co_return opened;
}

void pooled_backend_pool::dispatch_transactions(clock::time_point now) {
    while (m_transaction_queue.size() > 0) {
        const auto available = find_reservable_connection();
        if (!available) {
            return;
        }
        available->use = connection_use::reserved;
        if (!m_transaction_queue.assign_next(available, now)) {
            available->use = connection_use::shared;
            return;
        }
    }
}

// At least one usable connection must stay shared, so that single requests are not blocked.
bool pooled_backend_pool::can_reserve() const {
    const auto usable =
        std::count_if(m_connections.begin(), m_connections.end(), [](const connection& pooled) {
            return pooled->use == connection_use::shared && pooled->link->usable();
        });
    return usable > 1;
}

bool pooled_backend_pool::has_single_connection() const {
    return m_connection_quota <= 1 && m_connections.size() <= 1;
}

pooled_backend_pool::connection pooled_backend_pool::find_reservable_connection() {
    if (!has_single_connection() && !can_reserve()) {
        return nullptr;
    }
    for (const connection& pooled : m_connections) {
        const bool idle = pooled->use == connection_use::shared && pooled->link->usable() &&
                          pooled->assigned_requests == 0 && pooled->link->in_flight() == 0;
        if (idle && pooled->in_doubt) {
            pooled->link->close();
        } else if (idle) {
            return pooled;
        }
    }
    return nullptr;
}

void pooled_backend_pool::release(const connection& used, bool clean) {
    if (clean && !used->in_doubt) {
        used->use = connection_use::shared;
    } else {
        used->link->close();
    }
    const auto now = steady_clock().now();
    dispatch_transactions(now);
    dispatch_requests(now);
    schedule_maintenance();
}

// Settings and status

void pooled_backend_pool::set_connection_quota(std::size_t connections) {
    asio::post(m_executor, [self = shared_from_this(), connections] {
        self->m_connection_quota = connections;
        self->maintain();
    });
}

void pooled_backend_pool::set_draining(bool draining) {
    asio::post(m_executor, [self = shared_from_this(), draining] {
        self->m_draining = draining;
        if (draining) {
            const std::string reason = "the backend server is being taken out of service";
            self->m_request_queue.refuse_all(steady_clock().now(), reason);
            self->m_transaction_queue.refuse_all(steady_clock().now(), reason);
        }
        self->maintain();
    });
}

void pooled_backend_pool::publish_status() {
    m_published_connections = m_connections.size();
    m_published_quota = m_connection_quota;
    m_published_queued = m_request_queue.size() + m_transaction_queue.size();
    m_published_in_flight = m_in_flight;
    m_published_limit = allowed_in_flight(steady_clock().now());
    m_published_circuit_open = m_breaker->open();
    const auto latency =
        std::chrono::duration_cast<std::chrono::microseconds>(m_limiter->latency());
    m_published_latency_us = latency.count();
}

pool_status pooled_backend_pool::status() const {
    pool_status state;
    state.connections = m_published_connections;
    state.connection_quota = m_published_quota;
    state.queued = m_published_queued;
    state.in_flight = m_published_in_flight;
    state.concurrency_limit = m_published_limit;
    state.circuit_open = m_published_circuit_open;
    state.latency = std::chrono::microseconds(m_published_latency_us);
    return state;
}

std::shared_ptr<backend_pool> make_backend_pool(asio::any_io_executor executor,
                                                backend_connector& connector,
                                                machines::backend_server server,
                                                std::size_t connection_quota) {
    auto pool = std::make_shared<pooled_backend_pool>(std::move(executor), connector,
                                                      std::move(server), connection_quota);
    pool->start();
    return pool;
}

} // namespace oriole::links
