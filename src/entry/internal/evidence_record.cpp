#include <utility>

#include "entry/internal/evidence_record.h"

#include <algorithm>

namespace oriole::entry {
namespace {

/// Returns the age of `then`, at least zero.
clock::duration age(clock::time_point then, clock::time_point now) {
    return std::max(now - then, clock::duration::zero());
}

peer_service_report report_of(const routing::service_report& seen, clock::time_point now,
                              clock::time_point boot_now) {
    peer_service_report out;
    out.primary = seen.evidence.server;
    if (seen.evidence.answered) {
        out.answer_age = age(*seen.evidence.answered, now);
    }
    if (seen.evidence.failing_since) {
        out.failing_for = age(*seen.evidence.failing_since, now);
    }
    if (!seen.proven_server.empty()) {
        out.proven_server = seen.proven_server;
        out.position = seen.proof.position;
        out.proof_age = age(seen.proof.asked, boot_now);
    }
    return out;
}

} // namespace

void evidence_record::record_traffic(const traffic_report& report) {
    for (const auto& [service, seen] : report.services) {
        m_own_reports[service] = seen;
    }
}

void evidence_record::merge_report(const instance_id& from, const service_name& service,
                                   const peer_service_report& report, clock::time_point now) {
    peer_evidence& known = m_peer_evidence[service][from];
    known.received_at = now;
    known.evidence = {};
    known.evidence.server = report.primary;
    if (report.answer_age && *report.answer_age < lifetime) {
        known.evidence.answered = now - *report.answer_age;
    }
    if (report.failing_for) {
        known.evidence.failing_since = now - *report.failing_for;
    }
}

std::map<service_name, peer_service_report> evidence_record::reports(clock::time_point now) const {
    std::map<service_name, peer_service_report> result;
    const auto boot_now = boot_clock().now();
    for (const auto& [service, seen] : m_own_reports) {
        const bool used = seen.evidence.answered || seen.evidence.failing_since;
        if (used || !seen.proven_server.empty()) {
            result[service] = report_of(seen, now, boot_now);
        }
    }
    return result;
}

fleet::primary_evidence evidence_record::own_of(const service_name& service) const {
    const auto found = m_own_reports.find(service);
    return found == m_own_reports.end() ? fleet::primary_evidence{} : found->second.evidence;
}

std::map<instance_id, fleet::primary_evidence>
evidence_record::peers_of(const service_name& service, clock::time_point now) const {
    std::map<instance_id, fleet::primary_evidence> result;
    const auto peers = m_peer_evidence.find(service);
    if (peers == m_peer_evidence.end()) {
        return result;
    }
    for (const auto& [id, known] : peers->second) {
        if (now - known.received_at < lifetime) {
            result[id] = known.evidence;
        }
    }
    return result;
}

bool evidence_record::any_primary_failing() const {
    return std::any_of(m_own_reports.begin(), m_own_reports.end(), [](const auto& item) {
        return item.second.evidence.failing_since.has_value();
    });
}

bool evidence_record::most_primaries_failing(
    const std::function<bool(const instance_id&)>& in_same_zone, clock::time_point now) const {
    std::map<service_name, bool> failing;
    const auto add = [&failing](const service_name& service,
                                const fleet::primary_evidence& evidence) {
        if (evidence.failing_since || evidence.answered) {
            auto& fails = failing[service];
            fails = fails || evidence.failing_since.has_value();
        }
    };
    for (const auto& [service, seen] : m_own_reports) {
        add(service, seen.evidence);
    }
    for (const auto& [service, peers] : m_peer_evidence) {
        for (const auto& [id, evidence] : peers_of(service, now)) {
            if (in_same_zone(id)) {
                add(service, evidence);
            }
        }
    }
    const auto count =
        std::count_if(failing.begin(), failing.end(), [](const auto& item) { return item.second; });
    return count > 0 && 2 * static_cast<std::size_t>(count) >= failing.size();
}

} // namespace oriole::entry
