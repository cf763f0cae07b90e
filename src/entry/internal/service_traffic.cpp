#include <utility>

#include "entry/internal/service_traffic.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// How long a server that lacked a position is passed over for it and later ones.
constexpr clock::duration lag_memory = 150ms;

/// An instance that others used as a gateway within this time is likely to be used again.
constexpr clock::duration gateway_memory = 2s;

/// Weights of what makes a server a worse choice for a read; larger ones outweigh smaller ones.
constexpr int other_zone = 1;
constexpr int leads = 1;
constexpr int no_free_connection = 4;
constexpr int lags = 16;
constexpr int fails = 64;

} // namespace

service_traffic::service_traffic(asio::any_io_executor executor, server_connector& connector,
                                 zone_name own_zone)
    : m_executor(std::move(executor)), m_connector(connector), m_own_zone(std::move(own_zone)) {}

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
                          known->second->server().born == listed.born;
        auto pool =
            same ? known->second : std::make_shared<server_pool>(m_executor, m_connector, listed);
        pool->set_server(listed);
        m_allotments[listed.id] = server.connections;
        next[listed.id] = std::move(pool);
        if (server.primary) {
            listed_primary = listed.id;
        }
    }
    for (const auto& [id, pool] : m_pools) {
        const auto kept = next.find(id);
        if (kept == next.end() || kept->second != pool) {
            pool->close();
            m_progress.erase(id);
            if (kept == next.end()) {
                m_allotments.erase(id);
            }
        }
    }
    m_pools = std::move(next);
    adjust_limits(steady_clock().now());
    const auto found = m_pools.find(listed_primary);
    const auto primary = found == m_pools.end() ? nullptr : found->second;
    if (primary != m_primary) {
        m_primary = primary;
        m_not_leading_since.reset();
        wake_waiting();
    }
}

void service_traffic::adjust_limits(clock::time_point now) {
    const bool works_for_others =
        m_gateway || (m_used_as_gateway && now - *m_used_as_gateway < gateway_memory);
    for (const auto& [id, pool] : m_pools) {
        const auto& allotment = m_allotments.at(id);
        pool->set_limit(works_for_others ? allotment.as_gateway : allotment.alone);
        if (!works_for_others) {
            pool->close_unused(now);
        }
    }
}

std::vector<pool_ptr> service_traffic::readers(const machines::log_position& position,
                                               const account_name& account,
                                               clock::time_point now) const {
    std::vector<std::pair<int, pool_ptr>> ranked;
    for (const auto& [id, pool] : m_pools) {
        ranked.emplace_back(preference(*pool, position, account, now), pool);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<pool_ptr> result;
    result.reserve(ranked.size());
    for (auto& [rank, pool] : ranked) {
        result.push_back(std::move(pool));
    }
    return result;
}

void service_traffic::proved(const server_pool& server, const sessions::position_proof& proof) {
    m_proofs.add(proof);
    m_proved = server.server().id;
    if (m_primary.get() == &server) {
        m_not_leading_since.reset();
    }
    shown(server, proof.position);
}

void service_traffic::shown(const server_pool& server, const machines::log_position& position) {
    m_progress[server.server().id].shown = position;
}

void service_traffic::lagging(const server_pool& server, const machines::log_position& position,
                              clock::time_point now) {
    auto& known = m_progress[server.server().id];
    known.lacked = position;
    known.lacked_at = now;
}

void service_traffic::not_leading(clock::time_point now) {
    if (!m_not_leading_since) {
        m_not_leading_since = now;
    }
}

asio::awaitable<void> service_traffic::wait_for_primary(clock::time_point give_up) {
    auto timer = std::make_shared<asio::steady_timer>(m_executor, give_up);
    m_waiting.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(m_waiting, timer);
}

service_report service_traffic::report(clock::time_point now) const {
    service_report report;
    if (m_primary != nullptr) {
        report.evidence = m_primary->evidence(now);
        if (m_not_leading_since && !report.evidence.failing_since) {
            report.evidence.failing_since = m_not_leading_since;
        }
    }
    if (const auto proof = m_proofs.newest()) {
        report.proved = m_proved;
        report.proof = *proof;
    }
    return report;
}

int service_traffic::preference(const server_pool& pool, const machines::log_position& position,
                                const account_name& account, clock::time_point now) const {
    int rank = pool.server().zone == m_own_zone ? 0 : other_zone;
    rank += m_primary.get() == &pool ? leads : 0;
    rank += pool.available(account) ? 0 : no_free_connection;
    rank += pool.suspected(now) ? fails : 0;
    const auto known = m_progress.find(pool.server().id);
    if (known != m_progress.end()) {
        const auto& progress = known->second;
        const bool holds = progress.shown && *progress.shown >= position;
        const bool lacked = progress.lacked && *progress.lacked <= position &&
                            now - progress.lacked_at < lag_memory;
        rank += lacked && !holds ? lags : 0;
    }
    return rank;
}

void service_traffic::wake_waiting() {
    for (const auto& timer : m_waiting) {
        timer->cancel();
    }
}

} // namespace oriole::entry
