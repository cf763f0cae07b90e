#include "fleet/server_directory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// Servers whose entries lapsed in an outage write them again within 2 s of the store's return.
constexpr clock::duration return_period = 2500ms;

class outage_tolerant_directory final : public server_directory {
public:
    void replace(std::vector<listed_server> servers, std::uint64_t revision,
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
            if (!next.contains(id) && settling(now)) {
                next[id] = record{known.listed, gone_at(known, now)};
            }
        }
        m_servers = std::move(next);
        m_revision = revision;
    }

    void update(const listed_server& server, std::uint64_t revision,
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
        if (settling(now)) {
            found->second.gone_at = gone_at(found->second, now);
        } else {
            m_servers.erase(found);
        }
    }

    void store_regained(clock::time_point now) override { m_settled_at = now + return_period; }

    bool expire(clock::time_point now) override {
        return std::erase_if(m_servers, [now](const auto& entry) {
                   return entry.second.gone_at && *entry.second.gone_at <= now;
               }) > 0;
    }

    std::uint64_t revision() const override { return m_revision; }

    std::vector<listed_server> servers() const override {
        std::vector<listed_server> result;
        result.reserve(m_servers.size());
        for (const auto& [id, known] : m_servers) {
            result.push_back(known.listed);
        }
        return result;
    }

private:
    struct record {
        listed_server listed;
        std::optional<clock::time_point> gone_at; ///< set while its entry is missing
    };

    [[nodiscard]] bool settling(clock::time_point now) const {
        return m_settled_at && now < *m_settled_at;
    }

    [[nodiscard]] clock::time_point gone_at(const record& known, clock::time_point now) const {
        return known.gone_at.value_or(m_settled_at.value_or(now));
    }

    std::map<server_name, record> m_servers;
    std::uint64_t m_revision = 0;
    std::optional<clock::time_point> m_settled_at;
};

} // namespace

std::unique_ptr<server_directory> make_server_directory() {
    return std::make_unique<outage_tolerant_directory>();
}

} // namespace oriole::fleet
