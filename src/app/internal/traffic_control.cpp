#include <utility>

#include "app/internal/traffic_control.h"

#include "contracts/contracts_module.h"

namespace oriole::app {

traffic_control::traffic_control(const instance_id& self, const zone_name& zone,
                                 std::size_t threads, links::backend_connector& connector,
                                 metric_registry& metrics, control_reports& reports)
    : m_connector(connector) {
    std::vector<traffic_thread*> siblings;
    for (std::size_t index = 0; index < threads; ++index) {
        m_threads.push_back(std::make_unique<traffic_thread>(transaction_address{self, index}, zone,
                                                             connector, metrics, reports));
        siblings.push_back(m_threads.back().get());
    }
    for (auto& thread : m_threads) {
        thread->set_siblings(siblings);
    }
}

void traffic_control::start() {
    for (auto& thread : m_threads) {
        thread->start();
    }
}

void traffic_control::stop() {
    for (auto& thread : m_threads) {
        thread->stop();
    }
}

std::vector<links::caller_worker> traffic_control::workers() const {
    std::vector<links::caller_worker> workers;
    for (const auto& thread : m_threads) {
        workers.push_back({thread->executor(), thread.get()});
    }
    return workers;
}

void traffic_control::apply_site(site::generation generation, site::site_objects objects) {
    auto context = std::make_shared<site_context>();
    context->generation = generation;
    context->keys = contracts::contracts_module::make_key_directory(
        objects.keys(), objects.accounts(), objects.services());
    for (const auto& [name, server] : objects.servers()) {
        context->pools[name] = pool_for(server);
    }
    context->objects = std::move(objects);
    m_site = std::move(context);
    for (auto& thread : m_threads) {
        thread->post_site(m_site);
    }
}

std::shared_ptr<links::backend_pool>
traffic_control::pool_for(const machines::backend_server& server) {
    if (m_site) {
        const auto known = m_site->objects.servers().find(server.name());
        const bool same_address = known != m_site->objects.servers().end() &&
                                  known->second.statement_endpoint() == server.statement_endpoint();
        if (same_address) {
            return m_site->pools.at(server.name());
        }
    }
    const auto quota = m_connection_quotas.find(server.name());
    const std::size_t connections = quota == m_connection_quotas.end() ? 0 : quota->second;
    // The number of connections to a server is limited, so one traffic thread owns the whole pool
    // and the other threads send their calls through it.
    auto& owner = *m_threads[m_next_pool_thread];
    m_next_pool_thread = (m_next_pool_thread + 1) % m_threads.size();
    return links::make_backend_pool(owner.executor(), m_connector, server, connections);
}

void traffic_control::apply_view(const machines::database_view& view) {
    const auto shared = std::make_shared<const machines::database_view>(view);
    for (auto& thread : m_threads) {
        thread->post_view(shared);
    }
}

void traffic_control::apply_connection_quotas(const connection_quotas& quotas) {
    m_connection_quotas = quotas;
    if (!m_site) {
        return;
    }
    for (const auto& [name, pool] : m_site->pools) {
        const auto quota = quotas.find(name);
        pool->set_connection_quota(quota == quotas.end() ? 0 : quota->second);
    }
}

void traffic_control::post_shares(const contracts::thread_shares& slices,
                                  const std::function<void()>& applied) {
    for (std::size_t index = 0; index < m_threads.size(); ++index) {
        m_threads[index]->post_shares(slices.at(index), applied);
    }
}

void traffic_control::set_config_confirmed_at(clock::time_point time) {
    for (auto& thread : m_threads) {
        thread->post_config_confirmed_at(time);
    }
}

std::size_t traffic_control::open_transactions() const {
    std::size_t open = 0;
    for (const auto& thread : m_threads) {
        open += thread->open_transactions();
    }
    return open;
}

} // namespace oriole::app
