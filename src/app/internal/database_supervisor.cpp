#include "app/internal/database_supervisor.h"

#include <utility>

namespace oriole::app {
namespace {

/// Returns the server with the state `out` if operators took the server or its zone out of
/// service.
machines::backend_server with_zone_state(const site::site_objects& site,
                                         const machines::backend_server& server) {
    const auto zone = site.zones().find(server.zone());
    const bool zone_out = zone != site.zones().end() && zone->second.state() == service_state::out;
    return machines::backend_server::builder()
        .name(server.name())
        .zone(server.zone())
        .statement_endpoint(server.statement_endpoint())
        .control_endpoint(server.control_endpoint())
        .state(zone_out ? service_state::out : server.state())
        .build();
}

watched_database resolve_servers(const site::site_objects& site,
                                 const machines::database& definition) {
    watched_database collected{definition, {}};
    for (const auto& name : definition.servers()) {
        const auto server = site.servers().find(name);
        if (server != site.servers().end()) {
            collected.servers.push_back(with_zone_state(site, server->second));
        }
    }
    return collected;
}

} // namespace

database_supervisor::database_supervisor(boost::asio::any_io_executor executor,
                                         links::backend_connector& connector, const clock& time,
                                         instance_id self, database_watch::listener on_view,
                                         watch_settings settings)
    : m_executor(std::move(executor)),
      m_connector(connector),
      m_clock(time),
      m_self(std::move(self)),
      m_on_view(std::move(on_view)),
      m_settings(settings),
      m_assignment(machines::make_watch_assignment()) {}

database_supervisor::~database_supervisor() {
    stop();
}

void database_supervisor::set_site(const site::site_objects& site) {
    std::erase_if(m_watches, [&](const auto& entry) {
        const bool gone = !site.databases().contains(entry.first);
        if (gone) {
            entry.second->stop();
        }
        return gone;
    });
    for (const auto& [name, definition] : site.databases()) {
        auto& watch = m_watches[name];
        const bool is_new = !watch;
        if (is_new) {
            watch = std::make_shared<database_watch>(m_executor, m_connector, m_clock, m_self,
                                                     m_on_view, m_settings);
        }
        watch->set_database(resolve_servers(site, definition));
        assign(name, *watch);
        if (is_new) {
            watch->start();
        }
    }
}

void database_supervisor::set_instances(std::vector<machines::instance> instances) {
    m_instances = std::move(instances);
    for (const auto& [name, watch] : m_watches) {
        assign(name, *watch);
    }
}

void database_supervisor::assign(const database_name& database, database_watch& watch) const {
    watch_role role;
    const auto watchers = m_assignment->watchers(database, m_instances);
    role.watchers = {watchers.begin(), watchers.end()};
    role.rank = m_assignment->rank(database, m_instances, m_self);
    watch.set_role(std::move(role));
}

void database_supervisor::stop() {
    for (const auto& [name, watch] : m_watches) {
        watch->stop();
    }
    m_watches.clear();
}

void database_supervisor::merge_report(const machines::database_digest& digest) {
    const auto found = m_watches.find(digest.database);
    if (found != m_watches.end()) {
        found->second->merge(digest);
    }
}

std::vector<machines::database_digest> database_supervisor::digests() const {
    std::vector<machines::database_digest> all;
    for (const auto& [name, watch] : m_watches) {
        if (m_assignment->rank(name, m_instances, m_self)) {
            all.push_back(watch->digest());
        }
    }
    return all;
}

void database_supervisor::observe_term(const database_name& database, std::uint64_t term,
                                       const std::optional<server_name>& primary) {
    const auto found = m_watches.find(database);
    if (found != m_watches.end()) {
        found->second->observe_term(term, primary);
    }
}

std::optional<machines::database_view>
database_supervisor::view(const database_name& database) const {
    const auto found = m_watches.find(database);
    if (found == m_watches.end()) {
        return std::nullopt;
    }
    return found->second->view();
}

std::vector<machines::promotion_timeline> database_supervisor::timelines() const {
    std::vector<machines::promotion_timeline> all;
    for (const auto& [name, watch] : m_watches) {
        all.insert(all.end(), watch->timelines().begin(), watch->timelines().end());
    }
    return all;
}

} // namespace oriole::app
