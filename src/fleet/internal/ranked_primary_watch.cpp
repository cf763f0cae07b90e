#include "fleet/primary_watch.h"

#include <algorithm>
#include <utility>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// A primary that fails this long is taken for lost: longer than a slow statement and its queue.
constexpr clock::duration lost_after = 450ms;
/// How long the next instance waits for the one before it: an order takes two calls to the store
/// and one to the platform.
constexpr clock::duration step_in_delay = 300ms;
/// After an order, the time that the named server has to lead before another one is considered.
constexpr clock::duration settle_period = 1500ms;

class ranked_primary_watch final : public primary_watch {
public:
    explicit ranked_primary_watch(listed_instance own) : m_own(std::move(own)) {}

    void listed(const std::vector<listed_server>& servers, std::uint64_t revision) override {
        const listed_server* newest = nullptr;
        for (const auto& server : servers) {
            if (server.primary && (newest == nullptr || server.revision > newest->revision)) {
                newest = &server;
            }
        }
        if (newest != nullptr && newest->id != m_primary && newest->revision > m_known_at) {
            m_primary = newest->id;
            m_known_at = newest->revision;
        }
        m_store_revision = std::max(m_store_revision, revision);
    }

    void proved(const server_name& server, const machines::log_position& position) override {
        // A proof of a known term may be older than an order or an entry that names another server.
        if (position.term() <= m_term) {
            return;
        }
        m_term = position.term();
        adopt(server);
    }

    void promoted(const server_name& server) override {
        adopt(server);
        m_promoted_at.reset();
        m_just_promoted = true;
    }

    server_name primary() const override { return m_primary; }

    std::uint64_t term() const override { return m_term; }

    std::optional<primary_change> due_change(const primary_situation& situation,
                                             clock::time_point now) override {
        if (m_just_promoted) {
            m_promoted_at = now;
            m_just_promoted = false;
        }
        const auto since = change_due_since(situation, now);
        const auto own_turn = rank(situation);
        if (!since || !own_turn) {
            m_due_since.reset();
            return std::nullopt;
        }
        if (!m_due_since) {
            m_due_since = *since;
        }
        const auto turn = *m_due_since + step_in_delay * *own_turn;
        const bool settling = m_promoted_at && now - *m_promoted_at < settle_period;
        if (now < turn || settling) {
            return std::nullopt;
        }
        auto change = make_change(situation);
        if (change.candidates.empty()) {
            return std::nullopt;
        }
        return change;
    }

private:
    void adopt(const server_name& server) {
        m_primary = server;
        m_known_at = m_store_revision;
    }

    [[nodiscard]] const listed_server* find_primary(const primary_situation& situation) const {
        const auto found =
            std::find_if(situation.servers.begin(), situation.servers.end(),
                         [this](const listed_server& server) { return server.id == m_primary; });
        return found == situation.servers.end() ? nullptr : &*found;
    }

    [[nodiscard]] static bool leaving(const listed_server& server,
                                      const primary_situation& situation) {
        return server.draining || situation.evacuated_zones.contains(server.zone);
    }

    [[nodiscard]] std::optional<clock::time_point>
    change_due_since(const primary_situation& situation, clock::time_point now) const {
        if (situation.servers.empty()) {
            return std::nullopt;
        }
        const auto* primary = find_primary(situation);
        if (primary == nullptr || leaving(*primary, situation)) {
            return now;
        }
        const auto& own = situation.own;
        if (own.server != m_primary || !own.failing_since ||
            now - *own.failing_since < lost_after) {
            return std::nullopt;
        }
        return peers_reach(situation) ? std::nullopt : std::optional(now);
    }

    /// Whether more instances reach the primary than fail to. It then stays, since a change costs
    /// all of them a pause.
    [[nodiscard]] bool peers_reach(const primary_situation& situation) const {
        int reaching = 0;
        int failing = 1;
        for (const auto& [id, evidence] : situation.peers) {
            if (evidence.server != m_primary) {
                continue;
            }
            if (evidence.failing_since) {
                ++failing;
            } else if (evidence.answered) {
                ++reaching;
            }
        }
        return reaching > failing;
    }

    /// The turn of this instance; nullopt when it is not among those that act.
    [[nodiscard]] std::optional<int> rank(const primary_situation& situation) const {
        if (situation.last_holder == m_own.id) {
            return 0;
        }
        int turn = situation.last_holder.empty() ? 0 : 1;
        for (const auto& instance : situation.instances) {
            if (instance.id == m_own.id) {
                return turn;
            }
            turn += instance.id == situation.last_holder ? 0 : 1;
        }
        return std::nullopt;
    }

    [[nodiscard]] primary_change make_change(const primary_situation& situation) const {
        primary_change change;
        const auto* primary = find_primary(situation);
        change.from = m_primary;
        change.reason = primary != nullptr && leaving(*primary, situation) ? change_reason::planned
                                                                           : change_reason::lost;
        for (const auto& server : situation.servers) {
            if (server.id != m_primary && !leaving(server, situation)) {
                change.candidates.push_back(server.id);
            }
        }
        return change;
    }

    listed_instance m_own;
    server_name m_primary;
    std::uint64_t m_known_at = 0; ///< store revision at which m_primary was adopted
    std::uint64_t m_store_revision = 0;
    std::uint64_t m_term = 0;
    bool m_just_promoted = false;
    std::optional<clock::time_point> m_promoted_at;
    std::optional<clock::time_point> m_due_since;
};

} // namespace

std::unique_ptr<primary_watch> make_primary_watch(const listed_instance& own) {
    return std::make_unique<ranked_primary_watch>(own);
}

} // namespace oriole::fleet
