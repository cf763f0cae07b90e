#include <utility>

#include "routing/service_traffic.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// How long a server that lacked a log position is avoided for reads of that or a later position.
constexpr clock::duration lag_retry_delay = 150ms;

/// An instance counts as a gateway for this long after another instance last forwarded a statement
/// to it.
constexpr clock::duration gateway_use_window = 2s;

/// Returns whether the result says something about the server's load or health. A refusal for
/// another reason than load does not.
bool shows_load(const exchange_result& result) {
    const auto code = result.answer.code;
    return code == sessions::answer_code::busy ||
           (code != sessions::answer_code::lagging && result.status != exchange_status::not_run);
}

scheduling::attempt_result result_of(const exchange_result& result) {
    if (result.answer.code == sessions::answer_code::busy) {
        return scheduling::attempt_result::refused;
    }
    const bool failed = result.status == exchange_status::timed_out ||
                        result.status == exchange_status::connection_lost ||
                        result.answer.code == sessions::answer_code::failed;
    return failed ? scheduling::attempt_result::failed : scheduling::attempt_result::served;
}

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
    std::set<zone_name> zones{m_own_zone};
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
        pool->set_scheduled(m_prioritized);
        m_connection_quotas[listed.id] = server.connections;
        zones.insert(listed.zone);
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
            if (m_balancer != nullptr) {
                m_balancer->forget(id);
            }
            if (kept == next.end()) {
                m_connection_quotas.erase(id);
            }
        }
    }
    m_pools = std::move(next);
    m_zones = static_cast<int>(zones.size());
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

void service_traffic::set_prioritized(bool prioritized) {
    m_prioritized = prioritized;
    for (const auto& [id, pool] : m_pools) {
        pool->set_scheduled(prioritized);
    }
}

scheduling::schedule_counts service_traffic::take_schedule_counts() {
    scheduling::schedule_counts sum;
    for (const auto& [id, pool] : m_pools) {
        for (const auto& [priority, counts] : pool->take_schedule_counts()) {
            sum[priority] += counts;
        }
    }
    return sum;
}

std::size_t service_traffic::waiting() const {
    std::size_t waiting = 0;
    for (const auto& [id, pool] : m_pools) {
        waiting += pool->waiting();
    }
    return waiting;
}

void service_traffic::record_run(const account_name& account, const exchange_result& result) {
    if (m_usage != nullptr && began_to_run(result)) {
        m_usage->count(account, result.statement_sent);
    }
}

void service_traffic::record_silence(const server_pool& server) {
    const auto since = server.failing_since();
    if (!since) {
        return;
    }
    for (const auto& [id, pool] : m_pools) {
        if (pool.get() != &server) {
            pool->close_idle_since(*since);
        }
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

pool_ptr service_traffic::choose_reader(const machines::log_position& position,
                                        const account_name& account, const fleet::route& route,
                                        const std::set<server_name>& tried, clock::time_point now) {
    std::vector<scheduling::reader> readers;
    for (const auto& [id, pool] : m_pools) {
        if (tried.contains(id)) {
            continue;
        }
        auto reader = reader_for(*pool);
        reader.connected = pool->has_idle(account);
        reader.connection_available = pool->available(account);
        reader.lagging = lags(id, position, now);
        reader.failing = pool->suspected(now);
        readers.push_back(std::move(reader));
    }
    if (m_balancer == nullptr) {
        m_balancer = std::make_unique<scheduling::read_balancer>();
    }
    const auto chosen =
        m_balancer->choose(readers, {route.database, route.latency_target}, m_zones, now);
    return chosen ? m_pools.at(*chosen) : nullptr;
}

void service_traffic::record_read(const server_pool& server, const exchange_result& result,
                                  const fleet::route& route, bool begins, clock::time_point now) {
    const auto known = m_pools.find(server.server().id);
    if (m_balancer == nullptr || known == m_pools.end() || known->second.get() != &server ||
        !shows_load(result)) {
        return;
    }
    scheduling::read_result ended{route.database, result_of(result), {}, reader_for(server)};
    if (result.status == exchange_status::answered && !begins) {
        ended.elapsed = boot_clock().now() - result.asked;
    }
    m_balancer->record(ended, m_zones, now);
}

void service_traffic::record_open(clock::duration elapsed, clock::time_point now) {
    if (m_balancer != nullptr) {
        m_balancer->record_open(elapsed, now);
    }
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

scheduling::reader service_traffic::reader_for(const server_pool& pool) const {
    scheduling::reader reader;
    reader.server = pool.server().id;
    reader.in_own_zone = pool.server().zone == m_own_zone;
    reader.primary = m_primary.get() == &pool;
    reader.slots = pool.server().slots;
    reader.running = pool.outstanding();
    return reader;
}

bool service_traffic::lags(const server_name& server, const machines::log_position& position,
                           clock::time_point now) const {
    const auto known = m_replica_progress.find(server);
    if (known == m_replica_progress.end()) {
        return false;
    }
    const auto& progress = known->second;
    const bool has_reached = progress.reached && *progress.reached >= position;
    const bool missing = progress.missing && *progress.missing <= position &&
                         now - progress.missing_since < lag_retry_delay;
    return missing && !has_reached;
}

void service_traffic::wake_primary_waiters() {
    for (const auto& timer : m_primary_waiters) {
        timer->cancel();
    }
}

} // namespace oriole::routing
