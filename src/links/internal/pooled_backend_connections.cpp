#include "links/internal/pooled_backend_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Opening a connection normally takes 10 to 30 ms; a server that takes this long counts as down.
constexpr milliseconds connect_timeout{500};

/// Delay after a failed attempt to connect, so that a server at its connection limit is not flooded
/// with attempts.
constexpr milliseconds reconnect_delay{100};

/// Interval of maintenance (failing expired requests, replacing lost connections): the shorter one
/// while requests wait, connections are missing or the circuit is open.
constexpr milliseconds active_maintenance_interval{5};
constexpr milliseconds idle_maintenance_interval{200};

} // namespace

void pooled_backend_pool::maintain() {
    const auto now = steady_clock().now();
    remove_closed_connections();
    close_excess_connections();
    open_missing_connections(now);
    m_request_queue.fail_expired(now);
    m_transaction_queue.fail_expired(now);
    dispatch_transactions(now);
    dispatch_requests(now);
    publish_status();
    schedule_maintenance();
}

void pooled_backend_pool::schedule_maintenance() {
    const bool complete = m_connections.size() >= m_connection_quota && !m_breaker->open();
    const bool waiting = m_request_queue.size() + m_transaction_queue.size() > 0;
    const auto now = steady_clock().now();
    const auto next =
        now + (complete && !waiting ? idle_maintenance_interval : active_maintenance_interval);
    if (m_timer.expiry() > now && m_timer.expiry() <= next) {
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code failure) {
        const auto self = weak.lock();
        if (self && !failure) {
            self->maintain();
        }
    });
}

void pooled_backend_pool::remove_closed_connections() {
    std::erase_if(m_connections, [](const connection& pooled) { return !pooled->link->usable(); });
}

void pooled_backend_pool::close_excess_connections() {
    std::size_t excess = m_connections.size() - std::min(m_connections.size(), m_connection_quota);
    for (const connection& pooled : m_connections) {
        const bool idle = pooled->use == connection_use::shared && pooled->assigned_requests == 0;
        if (excess > 0 && idle) {
            pooled->link->close();
            --excess;
        }
    }
}

void pooled_backend_pool::open_missing_connections(clock::time_point now) {
    if (m_draining || now < m_next_connect_at) {
        return;
    }
    if (m_breaker->open()) {
        if (m_connecting == 0 && m_breaker->take_probe(now)) {
            ++m_connecting;
            asio::co_spawn(m_executor, open_connection(shared_from_this()), asio::detached);
        }
        return;
    }
    while (m_connections.size() + m_connecting < m_connection_quota) {
        ++m_connecting;
        asio::co_spawn(m_executor, open_connection(shared_from_this()), asio::detached);
    }
}

asio::awaitable<void> pooled_backend_pool::open_connection(pool_ptr self) {
    std::shared_ptr<backend_link> link;
    try {
        link = co_await self->connect_and_verify();
    } catch (const link_error& failure) {
        self->m_breaker->failed(steady_clock().now());
        LOG_EVERY_N(WARNING, 100) << "connection not opened server=" << self->m_server.name()
                                  << " reason=\"" << failure.what() << '"';
    }
    --self->m_connecting;
    const auto now = steady_clock().now();
    if (!link) {
        self->m_next_connect_at = now + reconnect_delay;
        co_return;
    }
    if (self->m_breaker->open()) {
        self->m_slow_start->begin(now);
    }
    self->m_breaker->succeeded();
    self->m_connections.push_back(std::make_shared<pooled_connection>());
    self->m_connections.back()->link = std::move(link);
    self->maintain();
}

// The TCP connection is accepted before the server decides whether to serve or refuse it. A
// rollback outside a transaction verifies that the connection is served. Returns null when it was
// refused.
asio::awaitable<std::shared_ptr<backend_link>> pooled_backend_pool::connect_and_verify() {
    const auto deadline = steady_clock().now() + connect_timeout;
    auto link = co_await m_connector.connect(m_server.statement_endpoint(), deadline);
    backend_call verification = rollback_request{};
    const auto result = co_await link->call(std::move(verification), deadline);
    if (!std::holds_alternative<accepted_answer>(result)) {
        link->close();
        co_return nullptr;
    }
    co_return link;
}

} // namespace oriole::links
