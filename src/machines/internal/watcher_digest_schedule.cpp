#include "machines/digest_schedule.h"

#include "machines/watch_assignment.h"

#include <algorithm>
#include <set>

namespace oriole::machines {
namespace {

/// The fields of a digest whose change is sent to other instances at once.
struct urgent_fields {
    std::uint64_t term = 0;
    std::optional<server_name> primary;
    std::uint64_t highest_term = 0;
    bool writes_held = false;

    explicit urgent_fields(const database_digest& digest)
        : term(digest.term),
          primary(digest.primary),
          highest_term(digest.highest_term),
          writes_held(digest.writes_held) {}

    friend bool operator==(const urgent_fields&, const urgent_fields&) = default;
};

class watcher_digest_schedule final : public digest_schedule {
public:
    watcher_digest_schedule(instance_id self, digest_schedule_settings settings)
        : m_self(std::move(self)), m_settings(settings), m_assignment(make_watch_assignment()) {}

    [[nodiscard]] digest_deliveries due(const std::vector<database_digest>& digests,
                                        const std::vector<instance>& instances,
                                        clock::time_point now) override {
        digest_deliveries deliveries;
        for (const auto& digest : digests) {
            schedule_digest(digest, instances, now, deliveries);
        }
        return deliveries;
    }

private:
    struct sent_state {
        std::optional<urgent_fields> urgent;
        clock::time_point to_watchers;
        clock::time_point to_non_watchers;
    };

    void schedule_digest(const database_digest& digest, const std::vector<instance>& instances,
                         clock::time_point now, digest_deliveries& deliveries) {
        const auto watchers = m_assignment->watchers(digest.database, instances);
        auto& sent = m_sent[digest.database];
        const bool is_urgent = digest.evidence || sent.urgent != urgent_fields(digest);
        sent.urgent = urgent_fields(digest);
        if (is_urgent || now - sent.to_watchers >= m_settings.watcher_refresh_interval) {
            sent.to_watchers = now;
            for (const auto& watcher : watchers) {
                add(watcher, digest, deliveries);
            }
        }
        if (!is_urgent && now - sent.to_non_watchers < m_settings.non_watcher_refresh_interval) {
            return;
        }
        sent.to_non_watchers = now;
        for (const auto& non_watcher : non_watchers(watchers, instances)) {
            add(non_watcher, digest, deliveries);
        }
    }

    void add(const instance_id& receiver, const database_digest& digest,
             digest_deliveries& deliveries) const {
        if (receiver != m_self) {
            deliveries[receiver].push_back(digest);
        }
    }

    /// The instances that receive digests from this one: if it is the first watcher of its zone,
    /// the instances of the zone that do not watch the database.
    [[nodiscard]] std::vector<instance_id>
    non_watchers(const std::vector<instance_id>& watchers,
                 const std::vector<instance>& instances) const {
        std::map<instance_id, zone_name> zones;
        for (const auto& live : instances) {
            zones[live.id()] = live.zone();
        }
        const auto own = zones.find(m_self);
        if (own == zones.end()) {
            return {};
        }
        const auto first = std::find_if(watchers.begin(), watchers.end(), [&](const auto& id) {
            return zones.at(id) == own->second;
        });
        if (first == watchers.end() || *first != m_self) {
            return {};
        }
        const std::set<instance_id> watching(watchers.begin(), watchers.end());
        std::vector<instance_id> result;
        for (const auto& [id, zone] : zones) {
            if (zone == own->second && !watching.contains(id)) {
                result.push_back(id);
            }
        }
        return result;
    }

    instance_id m_self;
    digest_schedule_settings m_settings;
    std::unique_ptr<watch_assignment> m_assignment;
    std::map<database_name, sent_state> m_sent;
};

} // namespace

std::unique_ptr<digest_schedule> make_digest_schedule(instance_id self,
                                                      digest_schedule_settings settings) {
    return std::make_unique<watcher_digest_schedule>(std::move(self), settings);
}

} // namespace oriole::machines
