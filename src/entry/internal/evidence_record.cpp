#include <utility>

#include "entry/internal/evidence_record.h"

#include <algorithm>

namespace oriole::entry {
namespace {

/// In the messages that carry it, the age of a time.
clock::duration age(clock::time_point then, clock::time_point now) {
    return std::max(now - then, clock::duration::zero());
}

peer_service_report report_of(const service_report& seen, clock::time_point now,
                              clock::time_point boot_now) {
    peer_service_report out;
    out.primary = seen.evidence.server;
    if (seen.evidence.answered) {
        out.answered = age(*seen.evidence.answered, now);
    }
    if (seen.evidence.failing_since) {
        out.failing = age(*seen.evidence.failing_since, now);
    }
    if (!seen.proved.empty()) {
        out.proved = seen.proved;
        out.position = seen.proof.position;
        out.proof_age = age(seen.proof.asked, boot_now);
    }
    return out;
}

} // namespace

void evidence_record::take_traffic(const traffic_report& report) {
    for (const auto& [service, seen] : report.services) {
        m_own[service] = seen;
    }
}

void evidence_record::take_report(const instance_id& from, const service_name& service,
                                  const peer_service_report& report, clock::time_point now) {
    peer_evidence& known = m_peers[service][from];
    known.heard = now;
    known.evidence = {};
    known.evidence.server = report.primary;
    if (report.answered && *report.answered < life) {
        known.evidence.answered = now - *report.answered;
    }
    if (report.failing) {
        known.evidence.failing_since = now - *report.failing;
    }
}

std::map<service_name, peer_service_report> evidence_record::reports(clock::time_point now) const {
    std::map<service_name, peer_service_report> result;
    const auto boot_now = boot_clock().now();
    for (const auto& [service, seen] : m_own) {
        const bool used = seen.evidence.answered || seen.evidence.failing_since;
        if (used || !seen.proved.empty()) {
            result[service] = report_of(seen, now, boot_now);
        }
    }
    return result;
}

fleet::primary_evidence evidence_record::own_of(const service_name& service) const {
    const auto found = m_own.find(service);
    return found == m_own.end() ? fleet::primary_evidence{} : found->second.evidence;
}

std::map<instance_id, fleet::primary_evidence>
evidence_record::peers_of(const service_name& service, clock::time_point now) const {
    std::map<instance_id, fleet::primary_evidence> result;
    const auto peers = m_peers.find(service);
    if (peers == m_peers.end()) {
        return result;
    }
    for (const auto& [id, known] : peers->second) {
        if (now - known.heard < life) {
            result[id] = known.evidence;
        }
    }
    return result;
}

bool evidence_record::primary_fails() const {
    return std::any_of(m_own.begin(), m_own.end(), [](const auto& item) {
        return item.second.evidence.failing_since.has_value();
    });
}

bool evidence_record::most_primaries_fail(const std::function<bool(const instance_id&)>& near,
                                          clock::time_point now) const {
    std::map<service_name, bool> failing;
    const auto add = [&failing](const service_name& service,
                                const fleet::primary_evidence& evidence) {
        if (evidence.failing_since || evidence.answered) {
            auto& fails = failing[service];
            fails = fails || evidence.failing_since.has_value();
        }
    };
    for (const auto& [service, seen] : m_own) {
        add(service, seen.evidence);
    }
    for (const auto& [service, peers] : m_peers) {
        for (const auto& [id, evidence] : peers_of(service, now)) {
            if (near(id)) {
                add(service, evidence);
            }
        }
    }
    const auto count =
        std::count_if(failing.begin(), failing.end(), [](const auto& item) { return item.second; });
    return count > 0 && 2 * static_cast<std::size_t>(count) >= failing.size();
}

} // namespace oriole::entry
