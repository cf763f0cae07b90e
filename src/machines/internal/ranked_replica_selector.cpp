#include "machines/internal/ranked_replica_selector.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriole::machines {
namespace {

/// Latest possible time at which the entry at `position` was written to the primary's log: the time
/// of the first sample of the log's position that has reached `position`, or `now` if there is
/// none. The entry is in the log by now, since session positions are those of confirmed entries.
clock::time_point written_by(const database_view& view, const log_position& position,
                             clock::time_point now) {
    const auto& samples = view.progress;
    const auto found = std::find_if(samples.begin(), samples.end(), [&](const position_sample& s) {
        return s.position >= position;
    });
    return found == samples.end() ? now : std::min(found->at, now);
}

/// Expected time until the replica has applied `position`; zero if it should have done so already.
/// A replica applies an entry within its reported age after the entry was written.
std::chrono::milliseconds time_to_apply(const database_view& view, const server_report& report,
                                        const log_position& position, clock::time_point now) {
    if (report.applied >= position) {
        return std::chrono::milliseconds(0);
    }
    if (report.age == std::chrono::milliseconds::max()) {
        return std::chrono::milliseconds::max();
    }
    const auto applied_at = written_by(view, position, now) + report.age;
    if (applied_at <= now) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(applied_at - now);
}

} // namespace

struct ranked_replica_selector::scored_candidate {
    read_candidate candidate;
    std::chrono::microseconds expected_latency{0};
    std::uint64_t tie_break = 0;

    [[nodiscard]] auto key() const {
        return std::tuple(candidate.suitability, expected_latency, tie_break);
    }
};

ranked_replica_selector::ranked_replica_selector(replica_selector_settings settings)
    : m_settings(settings) {}

read_plan ranked_replica_selector::rank(const database_view& view, const read_query& query) const {
    std::vector<scored_candidate> scored;
    for (const auto& [server, condition] : query.servers) {
        if (!condition.in_service) {
            continue;
        }
        const auto tie_break = rendezvous_score(std::to_string(query.tie_break_seed), server.str());
        scored.push_back({assess(view, query, server), expected_latency(query, server), tie_break});
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto& a, const auto& b) { return a.key() < b.key(); });
    read_plan plan;
    plan.reserve(scored.size());
    for (auto& entry : scored) {
        plan.push_back(std::move(entry.candidate));
    }
    return plan;
}

read_candidate ranked_replica_selector::assess(const database_view& view, const read_query& query,
                                               const server_name& server) const {
    if (query.servers.at(server).circuit_open) {
        return {server, read_suitability::circuit_open};
    }
    const auto report = view.reports.find(server);
    if (report == view.reports.end() ||
        query.now - report->second.received_at > m_settings.stale_after) {
        return {server, read_suitability::stale_report};
    }
    if (view.primary == server) {
        return {server, read_suitability::primary};
    }
    const auto& max_age = query.requirement.max_age;
    if (max_age && report->second.age > *max_age) {
        return {server, read_suitability::too_old};
    }
    return assess_position(view, query, report->second);
}

read_candidate ranked_replica_selector::assess_position(const database_view& view,
                                                        const read_query& query,
                                                        const server_report& report) const {
    const auto& position = query.requirement.position;
    const auto wait =
        position ? time_to_apply(view, report, *position, query.now) : std::chrono::milliseconds(0);
    const bool saturated = query.servers.at(report.server).load >= m_settings.saturated_load;
    if (saturated || wait > m_settings.max_short_wait) {
        return {report.server, read_suitability::behind,
                std::min(wait, m_settings.max_behind_wait)};
    }
    if (wait.count() == 0) {
        return {report.server, read_suitability::ready};
    }
    if (wait + expected_latency(query, report.server) < expected_primary_latency(view, query)) {
        return {report.server, read_suitability::short_wait, wait};
    }
    return {report.server, read_suitability::behind, wait};
}

std::chrono::microseconds
ranked_replica_selector::expected_latency(const read_query& query,
                                          const server_name& server) const {
    const auto& condition = query.servers.at(server);
    auto latency = condition.latency;
    if (latency.count() == 0 && condition.zone != query.own_zone) {
        latency = m_settings.assumed_latency;
    }
    const double factor = 1.0 + condition.load;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(latency.count()) * factor));
}

std::chrono::microseconds
ranked_replica_selector::expected_primary_latency(const database_view& view,
                                                  const read_query& query) const {
    if (!view.primary) {
        return std::chrono::microseconds::max();
    }
    const auto found = query.servers.find(*view.primary);
    const bool usable =
        found != query.servers.end() && found->second.in_service && !found->second.circuit_open;
    return usable ? expected_latency(query, *view.primary) : std::chrono::microseconds::max();
}

std::unique_ptr<replica_selector> make_replica_selector(replica_selector_settings settings) {
    return std::make_unique<ranked_replica_selector>(settings);
}

} // namespace oriole::machines
