#include <utility>

#include "entry/internal/evacuated_zones.h"

#include <algorithm>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// Time for the operators to write an evacuation again that a restored store has lost. Servers of
/// an evacuated zone may be about to stop, so it exceeds the time for which servers are waited for.
constexpr clock::duration rewrite_period = 10s;

} // namespace

void evacuated_zones::update(const store_page<evacuation>& page, bool is_snapshot,
                             clock::time_point now) {
    if (page.revision < m_revision) {
        m_log.write(log_entry("store_page")
                        .add("kind", "evacuations")
                        .add("revision", to_string(page.revision))
                        .add("outcome", "ignored")
                        .add("newest_revision", to_string(m_revision)));
        return;
    }
    if (page.revision.era > m_revision.era) {
        m_grace_period_end = now + rewrite_period;
    }
    m_revision = page.revision;
    std::set<zone_name> listed;
    for (const auto& object : page.objects) {
        const zone_name zone(object.name);
        if (object.removed) {
            end(zone, object.revision);
        } else {
            begin(zone, object.revision);
            listed.insert(zone);
        }
    }
    if (is_snapshot) {
        end_missing(listed, now);
    }
}

void evacuated_zones::advance(clock::time_point now) {
    std::vector<zone_name> expired;
    for (const auto& [zone, known] : m_zones) {
        if (known.expires_at && *known.expires_at <= now) {
            expired.push_back(zone);
        }
    }
    for (const auto& zone : expired) {
        end(zone, m_revision);
    }
}

std::set<zone_name> evacuated_zones::zones() const {
    std::set<zone_name> result;
    for (const auto& [zone, known] : m_zones) {
        result.insert(zone);
    }
    return result;
}

std::vector<reported_evacuation> evacuated_zones::reported() const {
    std::vector<reported_evacuation> result;
    for (const auto& [zone, known] : m_zones) {
        result.push_back({zone, known.revision});
    }
    return result;
}

void evacuated_zones::begin(const zone_name& zone, const fleet::store_revision& revision) {
    const auto [known, added] = m_zones.try_emplace(zone, evacuated_zone{revision, std::nullopt});
    if (added) {
        log(zone, revision, "in_force");
    } else if (known->second.revision < revision) {
        known->second = {revision, std::nullopt};
    }
}

void evacuated_zones::end(const zone_name& zone, const fleet::store_revision& revision) {
    if (m_zones.erase(zone) > 0) {
        log(zone, revision, "ended");
    }
}

void evacuated_zones::end_missing(const std::set<zone_name>& listed, clock::time_point now) {
    const bool in_grace_period = m_grace_period_end && now < *m_grace_period_end;
    std::vector<zone_name> missing;
    for (auto& [zone, known] : m_zones) {
        const bool of_earlier_era = known.revision.era < m_revision.era;
        if (of_earlier_era && in_grace_period) {
            known.expires_at = m_grace_period_end;
        } else if (of_earlier_era || !listed.contains(zone)) {
            missing.push_back(zone);
        }
    }
    for (const auto& zone : missing) {
        end(zone, m_revision);
    }
}

void evacuated_zones::log(const zone_name& zone, const fleet::store_revision& revision,
                          std::string_view outcome) {
    m_log.write(log_entry("evacuation")
                    .add("zone", zone.str())
                    .add("revision", to_string(revision))
                    .add("outcome", outcome));
}

} // namespace oriole::entry
