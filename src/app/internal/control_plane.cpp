#include <utility>

#include "app/internal/control_plane.h"

#include "app/internal/site_config_codec.h"
#include "app/internal/sleep_for.h"

#include <boost/asio/post.hpp>

#include <glog/logging.h>

namespace oriole::app {
namespace {

/// How often changes of membership, connection limits and configuration freshness are passed on.
/// Must be well below the two seconds within which a withdrawn zone or instance must no longer get
/// new work.
constexpr std::chrono::milliseconds refresh_interval{100};

} // namespace

control_plane::control_plane(boost::asio::any_io_executor executor, machines::instance self,
                             std::size_t traffic_threads, links::backend_connector& connector,
                             metric_registry& metrics)
    : m_executor(std::move(executor)),
      m_self(std::move(self)),
      m_traffic(m_self.id(), m_self.zone(), traffic_threads, connector, metrics, *this),
      m_databases(m_executor, connector, steady_clock(), m_self.id(),
                  [this](const machines::database_view& view) { view_changed(view); }),
      m_connection_allocator(machines::make_connection_allocator()),
      m_instances{m_self},
      m_connected{m_self},
      m_generation(metrics.get("configuration_generation")) {
    m_databases.set_instances(m_instances);
}

void control_plane::connect(fleet_supervisor& fleet, links::caller_server& callers,
                            instance_shares& shares, usage_reporter& usage) {
    m_fleet = &fleet;
    m_callers = &callers;
    m_shares = &shares;
    m_usage = &usage;
    m_shares->set_instances(m_instances);
}

void control_plane::configuration_changed(const configuration& current) {
    site::site_objects objects;
    try {
        objects = site_config_codec::read_objects(current);
    } catch (const error& problem) {
        LOG(ERROR) << "cannot decode the configuration, keeping the current one generation="
                   << current.head.generation << " reason=\"" << problem.what() << '"';
        return;
    }
    m_databases.set_site(objects);
    m_shares->set_site(objects);
    m_traffic.apply_site(current.head.generation, std::move(objects));
    m_generation.set(static_cast<std::int64_t>(current.head.generation));
    refresh_connection_quotas();
    close_connections_of_withdrawn_keys();
    LOG(INFO) << "configuration is in force generation=" << current.head.generation;
}

void control_plane::newer_term_seen(const database_name& database, std::uint64_t term) {
    boost::asio::post(m_executor, [this, database, term] {
        m_databases.observe_term(database, term, std::nullopt);
    });
}

void control_plane::requests_counted(std::size_t thread, traffic_counts counts) {
    boost::asio::post(m_executor, [this, thread, moved = std::move(counts)] {
        m_shares->add_demand(thread, moved.demand);
        m_usage->merge(moved.usage);
    });
}

boost::asio::awaitable<void> control_plane::run() {
    while (true) {
        refresh_instances();
        if (m_connection_quotas_outdated) {
            refresh_connection_quotas();
        }
        const auto fresh = m_fleet->fresh_as_of();
        if (fresh) {
            m_traffic.set_config_confirmed_at(*fresh);
        }
        co_await sleep_for(refresh_interval);
    }
}

void control_plane::stop() {
    m_databases.stop();
    m_traffic.stop();
}

void control_plane::view_changed(const machines::database_view& view) {
    m_traffic.apply_view(view);
    m_connection_quotas_outdated = true;
}

void control_plane::refresh_instances() {
    auto connected = connected_instances();
    if (connected != m_connected) {
        m_connected = std::move(connected);
        m_connection_quotas_outdated = true;
    }
    auto live = live_instances();
    if (live == m_instances) {
        return;
    }
    m_instances = std::move(live);
    m_databases.set_instances(m_instances);
    m_shares->set_instances(m_instances);
    m_connection_quotas_outdated = true;
}

void control_plane::refresh_connection_quotas() {
    const auto& site = m_traffic.site();
    if (!site) {
        return;
    }
    m_connection_quotas_outdated = false;
    connection_quotas quotas;
    for (const auto& [name, database] : site->objects.databases()) {
        machines::allocation_request query{database, std::nullopt, {}, m_connected, m_self.id()};
        const auto view = m_databases.view(name);
        if (view) {
            query.primary = view->primary;
        }
        for (const auto& server_name : database.servers()) {
            const auto& server = site->objects.servers().at(server_name);
            // A primary that is taken out of service keeps its connections until another server has
            // been promoted.
            if (in_service(site->objects, server) || query.primary == server_name) {
                query.server_zones[server_name] = server.zone();
            }
        }
        for (const auto& [server, connections] : m_connection_allocator->allocate(query)) {
            quotas[server] = connections;
        }
    }
    m_traffic.apply_connection_quotas(quotas);
}

void control_plane::close_connections_of_withdrawn_keys() {
    const auto site = m_traffic.site();
    m_callers->close_connections([site](const links::caller_identity& identity) {
        if (!identity.key || identity.key->empty()) {
            return false;
        }
        const auto key = site->objects.keys().find(*identity.key);
        return key == site->objects.keys().end() ||
               key->second.state() == contracts::key_state::withdrawn;
    });
}

std::vector<machines::instance> control_plane::live_instances() const {
    std::vector<machines::instance> live;
    for (const auto& member : m_fleet->members()) {
        const bool takes_part = member.state == machines::member_state::live ||
                                member.state == machines::member_state::suspected;
        if (takes_part) {
            live.push_back(member.instance_info);
        }
    }
    return live;
}

std::vector<machines::instance> control_plane::connected_instances() const {
    std::vector<machines::instance> connected;
    for (const auto& member : m_fleet->members()) {
        connected.push_back(member.instance_info);
    }
    return connected;
}

} // namespace oriole::app
