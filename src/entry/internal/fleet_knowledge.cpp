#include <utility>

#include "entry/internal/fleet_knowledge.h"

#include "fleet/connection_division.h"

#include <algorithm>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// A primary that drains or is evacuated is used until another one leads, at most this long: the
/// shortest bound is 5 s, and the view takes a moment to reach the traffic thread.
constexpr clock::duration leaving_primary_use = 3500ms;

} // namespace

fleet_knowledge::fleet_knowledge(fleet::listed_instance own, decision_log& log)
    : m_own(std::move(own)),
      m_log(log),
      m_directory(fleet::make_server_directory()),
      m_instances(m_own),
      m_rates(m_own),
      m_orders(m_own.id) {
    update_roles();
}

void fleet_knowledge::take_configuration(std::shared_ptr<const fleet::configuration> config,
                                         std::uint64_t revision, std::string_view source) {
    if (revision <= m_known.configuration || config == nullptr) {
        return;
    }
    m_log.write(log_entry("configuration")
                    .add("version", config->version)
                    .add("revision", revision)
                    .add("source", source)
                    .add("outcome", "in_force"));
    auto keys = std::make_shared<fleet::key_index>();
    for (const auto& account : config->accounts) {
        for (const auto& key : account.keys) {
            (*keys)[key] = account.name;
        }
    }
    m_accounts_by_key = std::move(keys);
    m_config = std::move(config);
    m_known.configuration = revision;
    update_roles();
}

void fleet_knowledge::take_servers(const store_page<fleet::listed_server>& page, bool whole,
                                   clock::time_point now) {
    if (page.revision < m_known.servers) {
        return;
    }
    std::vector<fleet::listed_server> listed;
    for (const auto& object : page.objects) {
        if (object.removed) {
            m_directory->remove(server_name(object.name), object.revision, now);
        } else if (!object.value) {
            m_log.write(
                log_entry("server_entry").add("server", object.name).add("outcome", "unreadable"));
        } else if (whole) {
            listed.push_back(*object.value);
        } else {
            m_directory->update(*object.value, object.revision, now);
        }
    }
    if (whole) {
        m_directory->replace(std::move(listed), page.revision, now);
    }
    m_known.servers = page.revision;
    update_watches();
}

void fleet_knowledge::take_evacuations(const store_page<evacuation>& page, bool whole,
                                       clock::time_point now) {
    if (page.revision < m_known.evacuations) {
        return;
    }
    std::set<zone_name> named;
    for (const auto& object : page.objects) {
        const zone_name zone(object.name);
        if (object.removed) {
            m_evacuated.erase(zone);
        } else {
            m_evacuated.try_emplace(zone, now);
            named.insert(zone);
        }
        m_log.write(log_entry("evacuation")
                        .add("zone", object.name)
                        .add("revision", object.revision)
                        .add("outcome", object.removed ? "ended" : "in_force"));
    }
    if (whole) {
        std::erase_if(m_evacuated,
                      [&named](const auto& item) { return !named.contains(item.first); });
    }
    m_known.evacuations = page.revision;
}

void fleet_knowledge::take_instances(const store_page<fleet::listed_instance>& page,
                                     clock::time_point now) {
    m_instances.take(page, now);
    if (m_instances.take_changed()) {
        update_roles();
    }
}

void fleet_knowledge::take_traffic(const traffic_report& report) {
    m_evidence.take_traffic(report);
    for (const auto& [service, seen] : report.services) {
        if (!seen.proved.empty()) {
            primary_of(service).proved(seen.proved, seen.proof.position);
        }
    }
}

void fleet_knowledge::take_report(const peer_report& report, std::optional<clock::time_point> asked,
                                  clock::time_point now) {
    take_released_loans(report);
    if (asked) {
        m_rates.borrowed(report.from, report.lent, *asked);
    }
    m_instances.heard(report.from, report.incarnation);
    if (m_instances.take_changed()) {
        update_roles();
    }
    if (report.leaving) {
        mark_ended(report.from, report.incarnation);
    }
    if (m_instances.in_own_zone(report.from) && fleet::holds(m_roles->watchers, report.from)) {
        m_isolation_heard[report.from] = {report.isolated, now};
    }
    take_configuration(report.configuration, report.known.configuration, "peer");
    if (report.servers && report.known.servers > m_known.servers) {
        store_page<fleet::listed_server> page;
        page.revision = report.known.servers;
        for (const auto& server : *report.servers) {
            page.objects.push_back({server.id.str(), server.revision, false, server});
        }
        take_servers(page, true, now);
    }
    if (report.evacuated && report.known.evacuations > m_known.evacuations) {
        store_page<evacuation> page;
        page.revision = report.known.evacuations;
        for (const auto& zone : *report.evacuated) {
            page.objects.push_back({zone.str(), page.revision, false, evacuation{zone}});
        }
        take_evacuations(page, true, now);
    }
    for (const auto& [service, seen] : report.services) {
        m_evidence.take_report(report.from, service, seen, now);
        if (seen.order != 0) {
            m_orders.seen(service, seen.order, now - seen.order_age);
        }
        if (seen.position) {
            primary_of(service).proved(seen.proved, *seen.position);
            if (asked) {
                m_learnt[service] = {*asked - seen.proof_age, *seen.position};
            }
        }
    }
}

peer_report fleet_knowledge::report_for(const known_revisions* peer_knows, clock::time_point now) {
    peer_report report;
    report.from = m_own.id;
    report.incarnation = m_own.incarnation;
    report.number = ++m_number;
    report.wanted_loans = m_rates.kept_groups();
    report.known = m_known;
    report.isolated = m_isolated;
    report.services = m_evidence.reports(now);
    for (auto& [service, out] : report.services) {
        if (const auto order = m_orders.newest(service)) {
            out.order = order->revision;
            out.order_age = std::max(now - order->at, clock::duration::zero());
        }
    }
    if (peer_knows == nullptr) {
        return report;
    }
    if (peer_knows->configuration < m_known.configuration) {
        report.configuration = m_config;
    }
    if (peer_knows->servers < m_known.servers) {
        report.servers = m_directory->servers();
    }
    if (peer_knows->evacuations < m_known.evacuations) {
        report.evacuated.emplace();
        for (const auto& [zone, since] : m_evacuated) {
            report.evacuated->push_back(zone);
        }
    }
    return report;
}

void fleet_knowledge::take_released_loans(const peer_report& report) {
    auto& newest = m_numbers[report.from];
    // A delayed report must not end a loan that was made after it.
    if (newest.incarnation == report.incarnation && report.number <= newest.number) {
        return;
    }
    newest = {report.incarnation, report.number};
    m_rates.released(report.from, report.wanted_loans);
}

void fleet_knowledge::mark_ended(const instance_id& peer, std::uint64_t incarnation) {
    m_instances.mark_ended(peer, incarnation);
    m_rates.released(peer, {});
    if (m_instances.take_changed()) {
        update_roles();
    }
}

std::vector<std::pair<service_name, fleet::primary_change>>
fleet_knowledge::due_changes(clock::time_point now) {
    std::vector<std::pair<service_name, fleet::primary_change>> due;
    if (m_config == nullptr) {
        return due;
    }
    for (const auto& [service, limits] : m_config->services) {
        if (auto change = primary_of(service).due_change(situation(service, now), now)) {
            due.emplace_back(service, std::move(*change));
        }
    }
    return due;
}

bool fleet_knowledge::advance(clock::time_point now) {
    const bool expired = m_directory->expire(now);
    if (expired) {
        update_watches();
    }
    for (const auto& server : m_servers) {
        if (server.draining || m_evacuated.contains(server.zone)) {
            m_leaving_since.try_emplace(server.id, now);
        } else {
            m_leaving_since.erase(server.id);
        }
    }
    return expired;
}

fleet::primary_watch& fleet_knowledge::primary_of(const service_name& service) {
    auto& watch = m_watches[service];
    if (watch == nullptr) {
        watch = fleet::make_primary_watch(m_own);
    }
    return *watch;
}

std::optional<fleet::listed_server> fleet_knowledge::find(const server_name& id) const {
    const auto found =
        std::find_if(m_servers.begin(), m_servers.end(),
                     [&id](const fleet::listed_server& server) { return server.id == id; });
    if (found == m_servers.end()) {
        return std::nullopt;
    }
    return *found;
}

account_name fleet_knowledge::any_account() const {
    if (m_config == nullptr || m_config->accounts.empty()) {
        return {};
    }
    return m_config->accounts.front().name;
}

bool fleet_knowledge::most_primaries_fail(clock::time_point now) const {
    const auto near = [this](const instance_id& id) { return m_instances.in_own_zone(id); };
    return m_evidence.most_primaries_fail(near, now);
}

std::optional<bool> fleet_knowledge::zone_isolated(clock::time_point now) const {
    if (fleet::holds(m_roles->watchers, m_own.id)) {
        return std::nullopt;
    }
    return std::any_of(m_isolation_heard.begin(), m_isolation_heard.end(), [now](const auto& item) {
        return item.second.isolated && now - item.second.heard < evidence_record::life;
    });
}

bool fleet_knowledge::watches_store() const {
    return m_config == nullptr || fleet::holds(m_roles->watchers, m_own.id);
}

fleet::fleet_view fleet_knowledge::make_view(clock::time_point now) const {
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

void fleet_knowledge::update_watches() {
    m_servers = m_directory->servers();
    std::map<service_name, std::vector<fleet::listed_server>> by_service;
    for (const auto& server : m_servers) {
        by_service[server.service].push_back(server);
    }
    for (const auto& [service, servers] : by_service) {
        auto& watch = primary_of(service);
        const auto before = watch.primary();
        watch.listed(servers, m_known.servers);
        if (watch.primary() != before) {
            m_log.write(log_entry("primary")
                            .add("service", service.str())
                            .add("server", watch.primary().str())
                            .add("before", before.str())
                            .add("revision", m_known.servers)
                            .add("source", "list"));
        }
    }
}

void fleet_knowledge::update_roles() {
    std::set<service_name> services;
    if (m_config != nullptr) {
        for (const auto& [service, limits] : m_config->services) {
            services.insert(service);
        }
    }
    auto roles = fleet::assign_roles(m_own, peers(), services);
    if (m_roles != nullptr && roles == *m_roles) {
        return;
    }
    m_roles = std::make_shared<const fleet::role_assignment>(std::move(roles));
    m_roles_changed = true;
    m_rates.set_roles(*m_roles, peers().size() + 1, boot_clock().now());
}

fleet::primary_situation fleet_knowledge::situation(const service_name& service,
                                                    clock::time_point now) const {
    fleet::primary_situation result;
    result.service = service;
    for (const auto& server : m_servers) {
        if (server.service == service) {
            result.servers.push_back(server);
        }
    }
    for (const auto& [zone, since] : m_evacuated) {
        result.evacuated_zones.insert(zone);
    }
    result.own = m_evidence.own_of(service);
    result.peers = m_evidence.peers_of(service, now);
    const auto electors = m_roles->electors.find(service);
    if (electors != m_roles->electors.end()) {
        result.instances = electors->second;
    }
    const auto holder = m_holders.find(service);
    if (holder != m_holders.end()) {
        result.last_holder = holder->second;
    }
    return result;
}

std::optional<fleet::usable_server> fleet_knowledge::usable(const fleet::listed_server& server,
                                                            clock::time_point now) const {
    const auto limits = m_config->services.find(server.service);
    if (limits == m_config->services.end()) {
        return std::nullopt;
    }
    const auto watch = m_watches.find(server.service);
    fleet::usable_server entry;
    entry.listed = server;
    entry.primary = watch != m_watches.end() && watch->second->primary() == server.id;
    const bool leaving = server.draining || m_evacuated.contains(server.zone);
    if (leaving) {
        const auto since = m_leaving_since.find(server.id);
        const bool fresh =
            since == m_leaving_since.end() || now - since->second < leaving_primary_use;
        entry.evacuated = !(entry.primary && fresh);
    }
    entry.connections = fleet::connections_for(m_own, peers(), server, entry.primary,
                                               limits->second.max_connections);
    return entry;
}

} // namespace oriole::entry
