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

class outage_tolerant_directory final : public server_directory {
public:
    void replace(std::vector<registered_server> servers, std::uint64_t revision,
                 clock::time_point now) override {
        if (revision < m_revision) {
            return;
        }
        std::map<server_name, record> next;
        for (auto& server : servers) {
            const auto id = server.id;
            next[id] = record{std::move(server), std::nullopt};
        }
        for (auto& [id, known] : m_servers) {
            if (!next.contains(id) && in_grace_period(now)) {
                next[id] = record{known.listed, removal_time(known, now)};
            }
        }
        m_servers = std::move(next);
        m_revision = revision;
    }

    void update(const registered_server& server, std::uint64_t revision,
                clock::time_point /*now*/) override {
        const auto known = m_servers.find(server.id);
        if (known == m_servers.end() || known->second.listed.revision <= server.revision) {
            m_servers[server.id] = record{server, std::nullopt};
        }
        m_revision = std::max(m_revision, revision);
    }

    void remove(const server_name& id, std::uint64_t revision, clock::time_point now) override {
        m_revision = std::max(m_revision, revision);
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || found->second.listed.revision > revision) {
            return;
        }
        if (in_grace_period(now)) {
            found->second.expires_at = removal_time(found->second, now);
        } else {
            m_servers.erase(found);
        }
    }

    void store_reconnected(clock::time_point now) override {
        m_grace_period_end = now + reregistration_period;
    }

    bool expire(clock::time_point now) override {
        return std::erase_if(m_servers, [now](const auto& entry) {
                   return entry.second.expires_at && *entry.second.expires_at <= now;
               }) > 0;
    }

    std::uint64_t revision() const override { return m_revision; }

    std::vector<registered_server> servers() const override {
        std::vector<registered_server> result;
        result.reserve(m_servers.size());
        for (const auto& [id, known] : m_servers) {
            result.push_back(known.listed);
        }
        return result;
    }

private:
    struct record {
        registered_server listed;
        /// When to remove the server; set while its entry is missing.
        std::optional<clock::time_point> expires_at;
    };

    [[nodiscard]] bool in_grace_period(clock::time_point now) const {
        return m_grace_period_end && now < *m_grace_period_end;
    }

    [[nodiscard]] clock::time_point removal_time(const record& known, clock::time_point now) const {
        return known.expires_at.value_or(m_grace_period_end.value_or(now));
    }

    std::map<server_name, record> m_servers;
    std::uint64_t m_revision = 0;
    std::optional<clock::time_point> m_grace_period_end; ///< end of the last grace period
};

} // namespace

std::unique_ptr<server_directory> make_server_directory() {
    return std::make_unique<outage_tolerant_directory>();
}

} // namespace oriole::fleet
