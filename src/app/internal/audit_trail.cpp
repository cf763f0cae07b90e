#include "app/internal/audit_trail.h"

namespace oriole::app {
namespace {

using machines::promotion_state;

std::string primary_text(const server_name& primary, std::uint64_t term) {
    return "primary " + primary.str() + " term " + std::to_string(term);
}

bool has_ended(const machines::promotion_timeline& timeline) {
    if (timeline.milestones.empty()) {
        return false;
    }
    const auto state = timeline.milestones.back().state;
    return state == promotion_state::done || state == promotion_state::failed;
}

std::string reason_text(const machines::promotion_timeline& timeline) {
    const auto& last = timeline.milestones.back();
    return timeline.reason + ": promotion at term " + std::to_string(timeline.term) + " " +
           std::string(machines::to_string(last.state)) + " after " +
           std::to_string(last.after.count()) + " ms";
}

} // namespace

std::vector<contracts::audit_entry> audit_trail::observe(const audit_observation& observation) {
    std::vector<contracts::audit_entry> found;
    add_promotions(observation, found);
    add_abandoned_switchovers(observation, found);
    for (const auto& digest : observation.digests) {
        if (digest.primary && !m_promoting.contains(digest.database)) {
            m_primaries[digest.database] = primary_text(*digest.primary, digest.term);
        }
    }
    return found;
}

void audit_trail::add_promotions(const audit_observation& observation,
                                 std::vector<contracts::audit_entry>& found) {
    m_promoting.clear();
    m_promoted.clear();
    std::set<change_id> recorded;
    for (const auto& timeline : observation.timelines) {
        if (!has_ended(timeline)) {
            m_promoting.insert(timeline.database);
            continue;
        }
        const change_id id{timeline.database, timeline.term};
        recorded.insert(id);
        if (m_recorded.contains(id)) {
            continue;
        }
        m_promoted.insert(timeline.database);
        const bool done = timeline.milestones.back().state == promotion_state::done;
        const std::string to = done && timeline.primary
                                   ? primary_text(*timeline.primary, timeline.term)
                                   : m_primaries[timeline.database];
        found.push_back(make_entry(timeline.database, observation, to, reason_text(timeline)));
    }
    m_recorded = std::move(recorded);
}

void audit_trail::add_abandoned_switchovers(const audit_observation& observation,
                                            std::vector<contracts::audit_entry>& found) {
    std::set<database_name> switchovers;
    for (const auto& digest : observation.digests) {
        if (digest.writes_held) {
            switchovers.insert(digest.database);
            continue;
        }
        const bool ended = m_switchovers.contains(digest.database);
        if (ended && !m_promoted.contains(digest.database) &&
            !m_promoting.contains(digest.database)) {
            found.push_back(make_entry(digest.database, observation, m_primaries[digest.database],
                                       "planned change of primary given up, writes go on"));
        }
    }
    m_switchovers = std::move(switchovers);
}

contracts::audit_entry audit_trail::make_entry(const database_name& database,
                                               const audit_observation& observation, std::string to,
                                               std::string reason) const {
    const auto before = m_primaries.find(database);
    return contracts::audit_entry::builder()
        .actor(m_self.str())
        .when(observation.when)
        .object("database/" + database.str())
        .from(before == m_primaries.end() ? std::string() : before->second)
        .to(std::move(to))
        .generation(observation.generation)
        .reason(std::move(reason))
        .build();
}

} // namespace oriole::app
