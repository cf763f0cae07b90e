#include <utility>

#include "entry/internal/fleet_state.h"

#include <algorithm>

/// The part of fleet_state that exchanges reports with other instances.
namespace oriole::entry {
namespace {

/// Era of a store that was never restored.
constexpr std::uint64_t first_era = 1;

} // namespace

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
        if (asked && has_comparable_revisions(report)) {
            m_watcher_answered_at = now;
        }
    }
    merge_orders(report, asked);
    const auto revisions = revisions_of(report);
    note_era(std::max(
        {revisions.configuration.revision.era, revisions.servers.era, revisions.evacuations.era}));
    if (report.configuration != nullptr && revisions.configuration > m_revisions.configuration) {
        update_configuration(report.configuration, revisions.configuration.revision, "peer");
    }
    const bool comparable = has_comparable_revisions(report);
    if (comparable && report.servers && revisions.servers > m_revisions.servers) {
        store_page<fleet::registered_server> page;
        page.revision = revisions.servers;
        for (const auto& server : *report.servers) {
            page.objects.push_back({server.id.str(), server.revision, false, server});
            if (!report.states_eras) {
                page.objects.back().value->revision.era = page.revision.era;
            }
        }
        update_servers(page, true, now);
    }
    if (comparable && report.evacuated && revisions.evacuations > m_revisions.evacuations) {
        store_page<evacuation> page;
        page.revision = revisions.evacuations;
        for (const auto& [zone, revision] : *report.evacuated) {
            page.objects.push_back({zone.str(), report.states_eras ? revision : page.revision,
                                    false, evacuation{zone}});
        }
        update_evacuations(page, true, now);
    }
    for (const auto& [service, seen] : report.services) {
        m_evidence.merge_report(report.from, service, seen, now);
        if (seen.order_fence != 0) {
            promotion_lease_of(service).seen(seen.order_fence, now - seen.order_age);
        }
        if (seen.position) {
            primary_monitor_of(service).proved(seen.proven_server, *seen.position);
            if (asked) {
                m_peer_proofs[service] = {*asked - seen.proof_age, *seen.position};
            }
        }
    }
}

peer_report fleet_state::report_for(const peer_report* request, clock::time_point now) {
    peer_report report;
    report.from = m_own.id;
    report.incarnation = m_own.incarnation;
    report.sequence = ++m_last_own_sequence;
    report.wanted_loans = m_rates.coordinated_groups();
    report.revisions = m_revisions;
    report.isolated = m_isolated;
    report.services = m_evidence.reports(now);
    for (auto& [service, out] : report.services) {
        if (const auto& order = promotion_lease_of(service).newest()) {
            out.order_fence = order->fence;
            out.order_age = std::max(now - order->at, clock::duration::zero());
        }
    }
    if (leases_needed()) {
        report.orders = m_leases.known_orders();
        report.knows_orders = m_leases.knows_orders();
        report.confirms_orders = m_leases.confirms(boot_clock().now());
    }
    if (request == nullptr) {
        return report;
    }
    const auto peer_knows = revisions_of(*request);
    if (peer_knows.configuration < m_revisions.configuration) {
        report.configuration = m_config;
    }
    if (peer_knows.servers < m_revisions.servers) {
        report.servers = m_directory->servers();
    }
    if (peer_knows.evacuations < m_revisions.evacuations) {
        report.evacuated = m_evacuated.reported();
    }
    return report;
}

bool fleet_state::has_comparable_revisions(const peer_report& report) const {
    return report.states_eras || m_era <= first_era;
}

known_revisions fleet_state::revisions_of(const peer_report& report) const {
    auto revisions = report.revisions;
    if (report.states_eras) {
        return revisions;
    }
    revisions.configuration.revision.era = m_revisions.configuration.revision.era;
    revisions.servers.era = m_revisions.servers.era;
    revisions.evacuations.era = m_revisions.evacuations.era;
    if (report.configuration != nullptr) {
        revisions.configuration.version = report.configuration->version;
    } else if (m_config != nullptr) {
        revisions.configuration.version = m_config->version;
    }
    return revisions;
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
        learn_order({service, {}, order.target, order.fence, {}});
    }
    const auto zone = m_instances.zone_of(report.from);
    if (asked && zone) {
        m_leases.record_answer(report, *zone, *asked, *m_roles);
    }
}

} // namespace oriole::entry
