#include <utility>

#include "entry/internal/fleet_state.h"

#include <algorithm>

/// The part of fleet_state that exchanges reports with other instances.
namespace oriole::entry {

void fleet_state::merge_report(const peer_report& report, std::optional<clock::time_point> asked,
                               clock::time_point now) {
    apply_released_loans(report);
    if (asked) {
        m_rates.record_loans(report.from, report.granted_loans, *asked);
    }
    m_instances.record_report(report.from, report.incarnation);
    if (m_instances.consume_changed()) {
        update_roles();
    }
    if (report.leaving) {
        mark_ended(report.from, report.incarnation);
    }
    if (m_instances.in_own_zone(report.from) &&
        fleet::contains_instance(m_roles->watchers, report.from)) {
        m_isolation_reports[report.from] = {report.isolated, now};
        if (asked) {
            m_watcher_answered_at = now;
        }
    }
    merge_orders(report, asked);
    update_configuration(report.configuration, report.revisions.configuration, "peer");
    if (report.servers && report.revisions.servers > m_revisions.servers) {
        store_page<fleet::registered_server> page;
        page.revision = report.revisions.servers;
        for (const auto& server : *report.servers) {
            page.objects.push_back({server.id.str(), server.revision, false, server});
        }
        update_servers(page, true, now);
    }
    if (report.evacuated && report.revisions.evacuations > m_revisions.evacuations) {
        store_page<evacuation> page;
        page.revision = report.revisions.evacuations;
        for (const auto& zone : *report.evacuated) {
            page.objects.push_back({zone.str(), page.revision, false, evacuation{zone}});
        }
        update_evacuations(page, true, now);
    }
    for (const auto& [service, seen] : report.services) {
        m_evidence.merge_report(report.from, service, seen, now);
        if (seen.order_revision != 0) {
            m_promotion_leases.seen(service, seen.order_revision, now - seen.order_age);
        }
        if (seen.position) {
            primary_monitor_of(service).proved(seen.proven_server, *seen.position);
            if (asked) {
                m_peer_proofs[service] = {*asked - seen.proof_age, *seen.position};
            }
        }
    }
}

peer_report fleet_state::report_for(const known_revisions* peer_knows, clock::time_point now) {
    peer_report report;
    report.from = m_own.id;
    report.incarnation = m_own.incarnation;
    report.sequence = ++m_last_own_sequence;
    report.wanted_loans = m_rates.coordinated_groups();
    report.revisions = m_revisions;
    report.isolated = m_isolated;
    report.services = m_evidence.reports(now);
    for (auto& [service, out] : report.services) {
        if (const auto order = m_promotion_leases.newest(service)) {
            out.order_revision = order->revision;
            out.order_age = std::max(now - order->at, clock::duration::zero());
        }
    }
    if (leases_needed()) {
        report.orders = m_leases.known_orders();
        report.knows_orders = m_leases.knows_orders();
        report.confirms_orders = m_leases.confirms(boot_clock().now());
    }
    if (peer_knows == nullptr) {
        return report;
    }
    if (peer_knows->configuration < m_revisions.configuration) {
        report.configuration = m_config;
    }
    if (peer_knows->servers < m_revisions.servers) {
        report.servers = m_directory->servers();
    }
    if (peer_knows->evacuations < m_revisions.evacuations) {
        report.evacuated.emplace();
        for (const auto& [zone, since] : m_evacuated_since) {
            report.evacuated->push_back(zone);
        }
    }
    return report;
}

void fleet_state::apply_released_loans(const peer_report& report) {
    auto& newest = m_last_sequences[report.from];
    // A delayed report must not end a loan of a rate share that was granted after the report was
    // sent.
    if (newest.incarnation == report.incarnation && report.sequence <= newest.sequence) {
        return;
    }
    newest = {report.incarnation, report.sequence};
    m_rates.release_loans(report.from, report.wanted_loans);
}

void fleet_state::merge_orders(const peer_report& report, std::optional<clock::time_point> asked) {
    if (!leases_needed()) {
        return;
    }
    for (const auto& [service, order] : report.orders) {
        learn_order({service, {}, order.target, order.revision});
    }
    const auto zone = m_instances.zone_of(report.from);
    if (asked && zone) {
        m_leases.record_answer(report, *zone, *asked, *m_roles);
    }
}

} // namespace oriole::entry
