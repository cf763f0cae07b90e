#include "fleet/server_directory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// Grace period after a store outage. Servers whose entries expired during the outage register
/// again within 2 s of its end.
constexpr clock::duration reregistration_period = 2500ms;
/// How long a removed server is remembered. A store is restored from a copy that is seconds old.
constexpr clock::duration removal_memory = 10min;

/// Whether `entry` was written after `known`, an entry of the same server. Across a restore the
/// store's revisions do not tell, but the server's own count does.
bool is_newer(const registered_server& entry, const registered_server& known) {
    const bool counts_known = entry.sequence != 0 && known.sequence != 0;
    if (entry.revision.era == known.revision.era || !counts_known) {
        return entry.revision >= known.revision;
    }
    return std::pair(entry.start_time_ms, entry.sequence) >
           std::pair(known.start_time_ms, known.sequence);
}

/// Whether `entry` is the write `known`, read from a store that was restored since.
bool is_restored(registered_server entry, const registered_server& known) {
    const bool same_number = entry.revision.number == known.revision.number;
    entry.revision = known.revision;
    entry.sequence = known.sequence;
    return same_number && entry == known;
}

class outage_tolerant_directory final : public server_directory {
public:
    void replace(std::vector<registered_server> servers, const store_revision& revision,
                 clock::time_point now) override {
        if (revision < m_revision) {
            return;
        }
        advance_to(revision, now);
        std::map<server_name, record> next;
        for (auto& server : servers) {
            const auto id = server.id;
            if (auto entry = newest_record(std::move(server))) {
                next[id] = std::move(*entry);
            }
        }
        for (auto& [id, known] : m_servers) {
            if (next.contains(id)) {
                continue;
            }
            if (in_grace_period(now)) {
                next[id] = record{known.listed, removal_time(known, now)};
            } else {
                remember_removed(known.listed, revision, now);
            }
        }
        m_servers = std::move(next);
    }

    void update(const registered_server& server, const store_revision& revision,
                clock::time_point now) override {
        advance_to(revision, now);
        if (auto entry = newest_record(server)) {
            m_servers[server.id] = std::move(*entry);
        }
    }

    void remove(const server_name& id, const store_revision& revision,
                clock::time_point now) override {
        advance_to(revision, now);
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || found->second.listed.revision > revision) {
            return;
        }
        if (in_grace_period(now)) {
            found->second.expires_at = removal_time(found->second, now);
        } else {
            remember_removed(found->second.listed, revision, now);
            m_servers.erase(found);
        }
    }

    void store_reconnected(clock::time_point now) override {
        m_grace_period_end = now + reregistration_period;
    }

    bool expire(clock::time_point now) override {
        std::erase_if(m_removed,
                      [now](const auto& entry) { return entry.second.forget_at <= now; });
        return std::erase_if(m_servers, [this, now](const auto& entry) {
                   const bool expired = entry.second.expires_at && *entry.second.expires_at <= now;
                   if (expired) {
                       remember_removed(entry.second.listed, m_revision, now);
                   }
                   return expired;
               }) > 0;
    }

    store_revision revision() const override { return m_revision; }

    std::vector<registered_server> servers() const override {
        std::vector<registered_server> result;
        result.reserve(m_servers.size());
        for (const auto& [id, known] : m_servers) {
            result.push_back(known.listed);
        }
        return result;
    }

    std::vector<registered_server> removed_since(clock::time_point since) const override {
        std::vector<registered_server> result;
        for (const auto& [id, removed] : m_removed) {
            if (removed.forget_at - removal_memory > since && !m_servers.contains(id)) {
                result.push_back(removed.last_entry);
            }
        }
        return result;
    }

private:
    struct record {
        registered_server listed;
        /// When to remove the server; set while its entry is missing.
        std::optional<clock::time_point> expires_at;
    };

    struct removal {
        registered_server last_entry;
        store_revision removed_at;
        clock::time_point forget_at;
    };

    /// Records that the store has reached `revision`. Starts a grace period in a new era: the
    /// restored store lacks the entries of servers that registered after its copy was made.
    void advance_to(const store_revision& revision, clock::time_point now) {
        if (m_revision.era != 0 && revision.era > m_revision.era) {
            store_reconnected(now);
        }
        m_revision = std::max(m_revision, revision);
    }

    /// The record with the newer one of the received and the known entry; nullopt when the received
    /// entry is older than the removal of its server.
    [[nodiscard]] std::optional<record> newest_record(registered_server received) const {
        const auto known = m_servers.find(received.id);
        if (known != m_servers.end()) {
            const auto& listed = known->second.listed;
            const bool newer = is_newer(received, listed) && !is_restored(received, listed);
            return newer ? record{std::move(received), std::nullopt} : known->second;
        }
        const auto removed = m_removed.find(received.id);
        if (removed == m_removed.end()) {
            return record{std::move(received), std::nullopt};
        }
        const auto& last = removed->second;
        const bool is_restored_copy =
            received.revision.era > last.removed_at.era && !is_newer(received, last.last_entry);
        if (received.revision <= last.removed_at || is_restored_copy) {
            return std::nullopt;
        }
        return record{std::move(received), std::nullopt};
    }

    void remember_removed(const registered_server& server, const store_revision& revision,
                          clock::time_point now) {
        m_removed[server.id] = {server, revision, now + removal_memory};
    }

    [[nodiscard]] bool in_grace_period(clock::time_point now) const {
        return m_grace_period_end && now < *m_grace_period_end;
    }

    [[nodiscard]] clock::time_point removal_time(const record& known, clock::time_point now) const {
        return known.expires_at.value_or(m_grace_period_end.value_or(now));
    }

    std::map<server_name, record> m_servers;
    std::map<server_name, removal> m_removed;
    store_revision m_revision;
    std::optional<clock::time_point> m_grace_period_end; ///< end of the last grace period
};

} // namespace

std::unique_ptr<server_directory> make_server_directory() {
    return std::make_unique<outage_tolerant_directory>();
}

} // namespace oriole::fleet
