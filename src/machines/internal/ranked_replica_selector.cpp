#include "machines/internal/ranked_replica_selector.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriole::machines {
namespace {

/// When `position` was in the primary's log at the latest. Without a sample that covers it, it is
/// known only that it is there now, since session positions are confirmed entries.
clock::time_point written_by(const database_view& view, const log_position& position,
                             clock::time_point now) {
    const auto& samples = view.progress;
    const auto found = std::find_if(samples.begin(), samples.end(), [&](const position_sample& s) {
        return s.position >= position;
    });
    return found == samples.end() ? now : std::min(found->at, now);
}

/// Time until the replica has applied `position`, zero if it should have by now. Entries arrive at
/// a replica with an age up to the one it reports, so the entry is applied by the time at which it
/// was written plus that age.
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
    std::chrono::microseconds cost{0};
    std::uint64_t tie = 0;

    [[nodiscard]] auto key() const { return std::tuple(candidate.suitability, cost, tie); }
};

ranked_replica_selector::ranked_replica_selector(replica_selector_settings settings)
    : m_settings(settings) {}

read_plan ranked_replica_selector::rank(const database_view& view, const read_query& query) const {
    std::vector<scored_candidate> scored;
    for (const auto& [server, condition] : query.servers) {
        if (!condition.in_service) {
            continue;
        }
        const auto tie = rendezvous_score(std::to_string(query.spread), server.str());
        scored.push_back({assess(view, query, server), cost(query, server), tie});
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
        query.now - report->second.heard_at > m_settings.stale_after) {
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
    if (wait + cost(query, report.server) < primary_cost(view, query)) {
        return {report.server, read_suitability::short_wait, wait};
    }
    return {report.server, read_suitability::behind, wait};
}

std::chrono::microseconds ranked_replica_selector::cost(const read_query& query,
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

std::chrono::microseconds ranked_replica_selector::primary_cost(const database_view& view,
                                                                const read_query& query) const {
    if (!view.primary) {
        return std::chrono::microseconds::max();
    }
    const auto found = query.servers.find(*view.primary);
    const bool usable =
        found != query.servers.end() && found->second.in_service && !found->second.circuit_open;
    return usable ? cost(query, *view.primary) : std::chrono::microseconds::max();
}

std::unique_ptr<replica_selector> make_replica_selector(replica_selector_settings settings) {
    return std::make_unique<ranked_replica_selector>(settings);
}

} // namespace oriole::machines
