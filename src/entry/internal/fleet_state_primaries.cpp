#include <utility>

#include "entry/internal/fleet_state.h"

#include <algorithm>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// How long a server without an entry in the store is asked for its log before a promotion. A
/// replica that is cut off from the store still receives commits; one that has ended for good must
/// not prevent a promotion for ever.
constexpr clock::duration unlisted_replica_memory = 60s;

} // namespace

std::vector<std::pair<service_name, fleet::primary_change>>
fleet_state::due_changes(clock::time_point now) {
    std::vector<std::pair<service_name, fleet::primary_change>> due;
    if (m_config == nullptr) {
        return due;
    }
    for (const auto& [service, limits] : m_config->services) {
        if (auto change = primary_monitor_of(service).due_change(situation(service, now), now)) {
            due.emplace_back(service, std::move(*change));
        }
    }
    return due;
}

fleet::duty_lease& fleet_state::promotion_lease_of(const service_name& service) {
    return m_promotion_leases.try_emplace(service, m_own.id, fleet::promotion_lease_period)
        .first->second;
}

fleet::primary_monitor& fleet_state::primary_monitor_of(const service_name& service) {
    auto& monitor = m_primary_monitors[service];
    if (monitor == nullptr) {
        monitor = fleet::make_primary_monitor(m_own, m_leasing);
    }
    return *monitor;
}

std::optional<fleet::registered_server> fleet_state::find_server(const server_name& id) const {
    const auto found =
        std::find_if(m_servers.begin(), m_servers.end(),
                     [&id](const fleet::registered_server& server) { return server.id == id; });
    if (found == m_servers.end()) {
        return std::nullopt;
    }
    return *found;
}

std::optional<fleet::registered_server>
fleet_state::find_known_server(const server_name& id, clock::time_point now) const {
    if (auto listed = find_server(id)) {
        return listed;
    }
    for (auto& removed : m_directory->removed_since(now - unlisted_replica_memory)) {
        if (removed.id == id) {
            return std::move(removed);
        }
    }
    return std::nullopt;
}

fleet::primary_change_inputs fleet_state::situation(const service_name& service,
                                                    clock::time_point now) const {
    fleet::primary_change_inputs result;
    result.service = service;
    for (const auto& server : m_servers) {
        if (server.service == service) {
            result.servers.push_back(server);
        }
    }
    for (const auto& server : m_directory->removed_since(now - unlisted_replica_memory)) {
        if (server.service == service && !server.draining) {
            result.unlisted.push_back(server);
        }
    }
    result.evacuated_zones = m_evacuated.zones();
    const auto limits = m_config->services.find(service);
    if (limits != m_config->services.end()) {
        result.synchronous_replicas = limits->second.synchronous_replicas;
    }
    result.own = m_evidence.own_of(service);
    result.peers = m_evidence.peers_of(service, now);
    const auto electors = m_roles->electors.find(service);
    if (electors != m_roles->electors.end()) {
        result.instances = electors->second;
    }
    const auto promoter = m_last_promoters.find(service);
    if (promoter != m_last_promoters.end()) {
        result.last_promoter = promoter->second;
    }
    return result;
}

} // namespace oriole::entry
