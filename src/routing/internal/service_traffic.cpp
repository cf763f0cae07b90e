#include <utility>

#include "routing/service_traffic.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// How long a server that lacked a log position is avoided for reads of that or a later position.
constexpr clock::duration lag_retry_delay = 150ms;

/// An instance counts as a gateway for this long after another instance last forwarded a statement
/// to it.
constexpr clock::duration gateway_use_window = 2s;

/// Penalties in the ranking of servers for a read; the server with the lowest sum is preferred. A
/// larger penalty outweighs the sum of all smaller ones.
constexpr int other_zone_penalty = 1;
constexpr int primary_penalty = 1;
constexpr int no_free_connection_penalty = 4;
constexpr int lagging_penalty = 16;
constexpr int failing_penalty = 64;

} // namespace

service_traffic::service_traffic(asio::any_io_executor executor, server_connector& connector,
                                 zone_name own_zone, fleet::primary_leasing leasing,
                                 usage::run_counter* usage)
    : m_executor(std::move(executor)),
      m_connector(connector),
      m_own_zone(std::move(own_zone)),
      m_leasing(leasing),
      m_usage(usage) {}

void service_traffic::apply(const std::vector<fleet::usable_server>& servers) {
    std::map<server_name, pool_ptr> next;
    server_name listed_primary;
    for (const auto& server : servers) {
        const auto& listed = server.listed;
        if (server.evacuated) {
            continue;
        }
        auto known = m_pools.find(listed.id);
        const bool same = known != m_pools.end() &&
                          known->second->server().address == listed.address &&
                          known->second->server().start_time_ms == listed.start_time_ms;
        auto pool =
            same ? known->second : std::make_shared<server_pool>(m_executor, m_connector, listed);
        pool->set_server(listed);
        m_connection_quotas[listed.id] = server.connections;
        next[listed.id] = std::move(pool);
        if (server.primary) {
            listed_primary = listed.id;
        }
    }
    for (const auto& [id, pool] : m_pools) {
        const auto kept = next.find(id);
        if (kept == next.end() || kept->second != pool) {
            pool->close();
            m_replica_progress.erase(id);
            if (kept == next.end()) {
                m_connection_quotas.erase(id);
            }
        }
    }
    m_pools = std::move(next);
    adjust_limits(steady_clock().now());
    const auto found = m_pools.find(listed_primary);
    const auto primary = found == m_pools.end() ? nullptr : found->second;
    if (primary != m_primary) {
        m_primary = primary;
        m_refused_lead_since.reset();
        wake_primary_waiters();
    }
}

void service_traffic::adjust_limits(clock::time_point now) {
    const bool serves_other_instances =
        m_gateway || (m_last_gateway_use && now - *m_last_gateway_use < gateway_use_window);
    for (const auto& [id, pool] : m_pools) {
        const auto& quota = m_connection_quotas.at(id);
        pool->set_limit(serves_other_instances ? quota.as_gateway : quota.isolated);
        if (!serves_other_instances) {
            pool->close_unused(now);
        }
    }
}

void service_traffic::record_run(const account_name& account, const exchange_result& result) {
    if (m_usage != nullptr && began_to_run(result)) {
        m_usage->count(account, result.statement_sent);
    }
}

void service_traffic::refuse_waiting() {
    for (const auto& [id, pool] : m_pools) {
        pool->refuse_waiting();
    }
}

pool_ptr service_traffic::primary() const {
    return m_primary != nullptr && may_use_as_primary(*m_primary) ? m_primary : nullptr;
}

void service_traffic::set_lease(fleet::primary_grant lease) {
    const bool was_usable = primary() != nullptr;
    m_lease = std::move(lease);
    if (!was_usable && primary() != nullptr) {
        wake_primary_waiters();
    }
}

bool service_traffic::may_use_as_primary(const server_pool& server) const {
    return m_leasing == fleet::primary_leasing::not_needed ||
           m_lease.covers(server.server().id, boot_clock().now());
}

std::vector<pool_ptr> service_traffic::readers(const machines::log_position& position,
                                               const account_name& account,
                                               clock::time_point now) const {
    std::vector<std::pair<int, pool_ptr>> ranked;
    for (const auto& [id, pool] : m_pools) {
        ranked.emplace_back(read_penalty(*pool, position, account, now), pool);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<pool_ptr> result;
    result.reserve(ranked.size());
    for (auto& [penalty, pool] : ranked) {
        result.push_back(std::move(pool));
    }
    return result;
}

void service_traffic::add_proof(const server_pool& server, const sessions::position_proof& proof) {
    m_proofs.add(proof);
    m_proven_server = server.server().id;
    if (m_primary.get() == &server) {
        m_refused_lead_since.reset();
    }
    record_position(server, proof.position);
}

void service_traffic::record_position(const server_pool& server,
                                      const machines::log_position& position) {
    m_replica_progress[server.server().id].reached = position;
}

void service_traffic::record_lag(const server_pool& server, const machines::log_position& position,
                                 clock::time_point now) {
    auto& known = m_replica_progress[server.server().id];
    known.missing = position;
    known.missing_since = now;
}

void service_traffic::record_not_leading(clock::time_point now) {
    if (!m_refused_lead_since) {
        m_refused_lead_since = now;
    }
}

asio::awaitable<void> service_traffic::wait_for_primary(clock::time_point deadline) {
    auto timer = std::make_shared<asio::steady_timer>(m_executor, deadline);
    m_primary_waiters.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(m_primary_waiters, timer);
}

service_report service_traffic::report(clock::time_point now) const {
    service_report report;
    if (m_primary != nullptr) {
        report.evidence = m_primary->evidence(now);
        if (m_refused_lead_since && !report.evidence.failing_since) {
            report.evidence.failing_since = m_refused_lead_since;
        }
    }
    if (const auto proof = m_proofs.newest()) {
        report.proven_server = m_proven_server;
        report.proof = *proof;
    }
    return report;
}

int service_traffic::read_penalty(const server_pool& pool, const machines::log_position& position,
                                  const account_name& account, clock::time_point now) const {
    int penalty = pool.server().zone == m_own_zone ? 0 : other_zone_penalty;
    penalty += m_primary.get() == &pool ? primary_penalty : 0;
    penalty += pool.available(account) ? 0 : no_free_connection_penalty;
    penalty += pool.suspected(now) ? failing_penalty : 0;
    const auto known = m_replica_progress.find(pool.server().id);
    if (known != m_replica_progress.end()) {
        const auto& progress = known->second;
        const bool has_reached = progress.reached && *progress.reached >= position;
        const bool missing = progress.missing && *progress.missing <= position &&
                             now - progress.missing_since < lag_retry_delay;
        penalty += missing && !has_reached ? lagging_penalty : 0;
    }
    return penalty;
}

void service_traffic::wake_primary_waiters() {
    for (const auto& timer : m_primary_waiters) {
        timer->cancel();
    }
}

} // namespace oriole::routing
