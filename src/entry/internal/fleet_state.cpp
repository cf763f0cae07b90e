#include <utility>

#include "entry/internal/fleet_state.h"

#include "fleet/connection_quota.h"

#include <algorithm>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// Maximum time for which a draining or evacuated primary stays in use until another server becomes
/// primary. Its use must end within the shortest specified limit of 5 s, less the delay until the
/// view reaches the traffic thread.
constexpr clock::duration max_leaving_primary_use = 3500ms;
/// An instance that no watcher of its zone has answered for this long watches the store itself. It
/// spans two polls, and leaves most of the shortest specified limit of 3 s for the change itself.
constexpr clock::duration watcher_answer_lifetime = 1800ms;

} // namespace

fleet_state::fleet_state(fleet::registered_instance own, decision_log& log,
                         fleet::primary_leasing leasing, std::size_t zone_count)
    : m_own(std::move(own)),
      m_log(log),
      m_leasing(leasing),
      m_zone_count(zone_count),
      m_directory(fleet::make_server_directory()),
      m_evacuated(log),
      m_instances(m_own),
      m_rates(m_own),
      m_leases(m_own.zone, zone_count) {
    update_roles();
}

void fleet_state::update_configuration(std::shared_ptr<const fleet::configuration> config,
                                       const fleet::store_revision& revision,
                                       std::string_view source) {
    note_era(revision.era);
    if (config == nullptr) {
        return;
    }
    const fleet::configuration_rank rank{config->version, revision};
    const bool is_newer = m_config == nullptr || rank > m_revisions.configuration;
    log_entry line("configuration");
    line.add("version", config->version)
        .add("revision", to_string(revision))
        .add("source", source)
        .add("outcome", is_newer ? "in_force" : "ignored");
    if (!is_newer) {
        line.add("newest_version", m_config->version);
    }
    m_log.write(line);
    if (!is_newer) {
        return;
    }
    auto keys = std::make_shared<fleet::key_index>();
    for (const auto& account : config->accounts) {
        for (const auto& key : account.keys) {
            (*keys)[key] = account.name;
        }
    }
    m_accounts_by_key = std::move(keys);
    m_config = std::move(config);
    m_revisions.configuration = rank;
    update_roles();
}

void fleet_state::update_servers(const store_page<fleet::registered_server>& page, bool is_snapshot,
                                 clock::time_point now) {
    note_era(page.revision.era);
    if (page.revision < m_revisions.servers) {
        m_log.write(log_entry("store_page")
                        .add("kind", "servers")
                        .add("revision", to_string(page.revision))
                        .add("outcome", "ignored")
                        .add("newest_revision", to_string(m_revisions.servers)));
        return;
    }
    std::vector<fleet::registered_server> listed;
    for (const auto& object : page.objects) {
        if (object.removed) {
            m_directory->remove(server_name(object.name), object.revision, now);
        } else if (!object.value) {
            m_log.write(
                log_entry("server_entry").add("server", object.name).add("outcome", "unreadable"));
        } else if (is_snapshot) {
            listed.push_back(*object.value);
        } else {
            m_directory->update(*object.value, object.revision, now);
        }
    }
    if (is_snapshot) {
        m_directory->replace(std::move(listed), page.revision, now);
    }
    m_revisions.servers = page.revision;
    update_primary_monitors();
}

void fleet_state::update_evacuations(const store_page<evacuation>& page, bool is_snapshot,
                                     clock::time_point now) {
    note_era(page.revision.era);
    m_evacuated.update(page, is_snapshot, now);
    m_revisions.evacuations = m_evacuated.revision();
}

void fleet_state::note_era(std::uint64_t era) {
    if (era <= m_era) {
        return;
    }
    if (m_era != 0) {
        m_log.write(log_entry("store_restored").add("era", era).add("era_before", m_era));
        m_store_restored = true;
    }
    m_era = era;
}

void fleet_state::update_instances(const store_page<fleet::registered_instance>& page,
                                   clock::time_point now) {
    note_era(page.revision.era);
    m_instances.update(page, now);
    if (m_instances.consume_changed()) {
        update_roles();
    }
}

void fleet_state::record_traffic(const traffic_report& report) {
    m_evidence.record_traffic(report);
    for (const auto& [service, seen] : report.services) {
        if (!seen.proven_server.empty()) {
            primary_monitor_of(service).proved(seen.proven_server, seen.proof.position);
        }
    }
}

void fleet_state::learn_order(const fleet::promotion_order& order) {
    if (!leases_needed() || !m_leases.learn(order)) {
        return;
    }
    m_order_learned = true;
    primary_monitor_of(order.service).promoted(order.target);
    m_log.write(log_entry("promotion_order")
                    .add("service", order.service.str())
                    .add("target", order.target.str())
                    .add("fence", order.fence)
                    .add("outcome", "previous_primary_given_up"));
}

void fleet_state::learn_orders(const store_page<fleet::promotion_order>& page,
                               clock::time_point asked) {
    for (const auto& object : page.objects) {
        if (object.value) {
            learn_order(*object.value);
        } else {
            m_log.write(log_entry("promotion_order")
                            .add("service", object.name)
                            .add("revision", to_string(object.revision))
                            .add("outcome", "unreadable"));
        }
    }
    m_leases.store_read(asked);
}

reported_order fleet_state::known_order(const service_name& service) const {
    const auto orders = m_leases.known_orders();
    const auto found = orders.find(service);
    return found == orders.end() ? reported_order() : found->second;
}

std::map<service_name, fleet::promotion_order> fleet_state::orders_of_leases() const {
    std::map<service_name, fleet::promotion_order> orders;
    for (const auto& [service, order] : m_leases.known_orders()) {
        if (fleet::contains_instance(lease_holders(service), m_own.id)) {
            orders[service] = {service, {}, order.target, order.fence, {}};
        }
    }
    return orders;
}

std::vector<fleet::registered_instance>
fleet_state::lease_holders(const service_name& service) const {
    const auto found = m_roles->lease_holders.find(service);
    return found == m_roles->lease_holders.end() ? std::vector<fleet::registered_instance>()
                                                 : found->second;
}

void fleet_state::mark_ended(const instance_id& peer, std::uint64_t incarnation) {
    m_instances.mark_ended(peer, incarnation);
    m_rates.release_loans(peer, {});
    if (m_instances.consume_changed()) {
        update_roles();
    }
}

void fleet_state::mark_refused(const instance_id& peer, std::uint64_t incarnation,
                               clock::time_point now) {
    m_instances.mark_refused(peer, incarnation, now);
    if (m_instances.consume_changed()) {
        update_roles();
    }
}

bool fleet_state::advance(clock::time_point now) {
    m_instances.advance(now);
    if (m_instances.consume_changed()) {
        update_roles();
    }
    m_evacuated.advance(now);
    const bool expired = m_directory->expire(now);
    if (expired) {
        update_primary_monitors();
    }
    for (const auto& server : m_servers) {
        if (server.draining || m_evacuated.contains(server.zone)) {
            m_unavailable_since.try_emplace(server.id, now);
        } else {
            m_unavailable_since.erase(server.id);
        }
    }
    return expired;
}

account_name fleet_state::any_account() const {
    if (m_config == nullptr || m_config->accounts.empty()) {
        return {};
    }
    return m_config->accounts.front().name;
}

bool fleet_state::most_primaries_failing(clock::time_point now) const {
    const auto in_same_zone = [this](const instance_id& id) { return m_instances.in_own_zone(id); };
    return m_evidence.most_primaries_failing(in_same_zone, now);
}

std::optional<bool> fleet_state::zone_isolated(clock::time_point now) const {
    if (fleet::contains_instance(m_roles->watchers, m_own.id)) {
        return std::nullopt;
    }
    return std::any_of(m_isolation_reports.begin(), m_isolation_reports.end(),
                       [now](const auto& item) {
                           return item.second.isolated &&
                                  now - item.second.received_at < evidence_record::lifetime;
                       });
}

bool fleet_state::watches_store(clock::time_point now) const {
    const bool watcher_answers =
        m_watcher_answered_at && now - *m_watcher_answered_at < watcher_answer_lifetime;
    return !watcher_answers || fleet::contains_instance(m_roles->watchers, m_own.id);
}

fleet::fleet_view fleet_state::make_view(clock::time_point now) const {
    fleet::fleet_view view;
    view.config = m_config;
    view.accounts_by_key = m_accounts_by_key;
    if (m_config == nullptr) {
        return view;
    }
    for (const auto& account : m_config->accounts) {
        if (m_instances.known()) {
            view.shares[account.name] = m_rates.share_of(account, boot_clock().now());
        }
    }
    for (const auto& server : m_servers) {
        if (auto entry = usable(server, now)) {
            view.servers[server.service].push_back(std::move(*entry));
        }
    }
    view.roles = m_roles;
    view.ready = m_instances.known() && !view.servers.empty();
    return view;
}

void fleet_state::update_primary_monitors() {
    m_servers = m_directory->servers();
    std::map<service_name, std::vector<fleet::registered_server>> by_service;
    for (const auto& server : m_servers) {
        by_service[server.service].push_back(server);
    }
    for (const auto& [service, servers] : by_service) {
        auto& monitor = primary_monitor_of(service);
        const auto before = monitor.primary();
        monitor.listed(servers, m_revisions.servers);
        if (monitor.primary() != before) {
            m_log.write(log_entry("primary")
                            .add("service", service.str())
                            .add("server", monitor.primary().str())
                            .add("before", before.str())
                            .add("revision", to_string(m_revisions.servers))
                            .add("source", "list"));
        }
    }
}

void fleet_state::update_roles() {
    std::set<service_name> services;
    if (m_config != nullptr) {
        for (const auto& [service, limits] : m_config->services) {
            services.insert(service);
        }
    }
    if (leases_needed()) {
        m_leases.add_services(services);
    }
    auto roles = fleet::assign_roles(m_own, peers(), services, m_leasing, m_instances.refused());
    if (m_roles != nullptr && roles == *m_roles) {
        return;
    }
    m_roles = std::make_shared<const fleet::role_assignment>(std::move(roles));
    m_roles_changed = true;
    const auto instances = peers().size() + m_instances.refused().size() + 1;
    m_rates.set_roles(*m_roles, instances, boot_clock().now());
}

std::optional<fleet::usable_server> fleet_state::usable(const fleet::registered_server& server,
                                                        clock::time_point now) const {
    const auto limits = m_config->services.find(server.service);
    if (limits == m_config->services.end()) {
        return std::nullopt;
    }
    const auto monitor = m_primary_monitors.find(server.service);
    fleet::usable_server entry;
    entry.listed = server;
    entry.primary = monitor != m_primary_monitors.end() && monitor->second->primary() == server.id;
    const bool leaving = server.draining || m_evacuated.contains(server.zone);
    if (leaving) {
        const auto since = m_unavailable_since.find(server.id);
        const bool fresh =
            since == m_unavailable_since.end() || now - since->second < max_leaving_primary_use;
        entry.evacuated = !(entry.primary && fresh);
    }
    entry.connections = fleet::connection_quota_for(m_own, peers(), server, entry.primary,
                                                    limits->second.max_connections);
    return entry;
}

} // namespace oriole::entry
