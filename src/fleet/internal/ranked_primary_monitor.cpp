#include "fleet/primary_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// A primary that fails for this long counts as lost. It is longer than a slow statement and its
/// time in the queue.
constexpr clock::duration primary_failure_timeout = 450ms;
/// How long each instance waits for the one before it in turn order. A promotion takes two calls to
/// the store and one to the platform.
constexpr clock::duration turn_delay = 300ms;
/// How long a promoted server has to take over as primary before another one is considered.
constexpr clock::duration takeover_timeout = 1500ms;
/// The same where the promotion may first have to wait for the end of the leases on the previous
/// primary.
constexpr clock::duration leased_takeover_timeout = 4500ms;

class ranked_primary_monitor final : public primary_monitor {
public:
    ranked_primary_monitor(registered_instance own, primary_leasing leasing)
        : m_own(std::move(own)), m_leasing(leasing) {}

    void listed(const std::vector<registered_server>& servers,
                const store_revision& revision) override {
        const registered_server* newest = nullptr;
        for (const auto& server : servers) {
            if (server.primary && (newest == nullptr || server.revision > newest->revision)) {
                newest = &server;
            }
        }
        // A replaced primary that does not know of the promotion still registers as the primary.
        const bool order_decides = m_leasing == primary_leasing::needed && m_ordered;
        if (!order_decides && newest != nullptr && newest->id != m_primary &&
            newest->revision > m_primary_revision) {
            m_primary = newest->id;
            m_primary_revision = newest->revision;
        }
        m_store_revision = std::max(m_store_revision, revision);
    }

    void proved(const server_name& server, const machines::log_position& position) override {
        // A position proof of an already known term may be older than the promotion order or the
        // store's server entry that named the current primary.
        if (position.term() <= m_term) {
            return;
        }
        m_term = position.term();
        set_primary(server);
    }

    void promoted(const server_name& server) override {
        set_primary(server);
        m_ordered = true;
        m_promoted_at.reset();
        m_just_promoted = true;
        m_promotion_failed = false;
    }

    void promotion_failed() override {
        m_just_promoted = false;
        m_promoted_at.reset();
        m_promotion_failed = true;
    }

    server_name primary() const override { return m_primary; }

    std::uint64_t term() const override { return m_term; }

    std::optional<primary_change> due_change(const primary_change_inputs& inputs,
                                             clock::time_point now) override {
        if (m_just_promoted) {
            m_promoted_at = now;
            m_just_promoted = false;
        }
        const auto since = change_due_since(inputs, now);
        const auto own_turn = rank(inputs);
        if (!since || !own_turn) {
            m_due_since.reset();
            return std::nullopt;
        }
        if (!m_due_since) {
            m_due_since = *since;
        }
        const auto turn = *m_due_since + turn_delay * *own_turn;
        const bool taking_over = m_promoted_at && now - *m_promoted_at < takeover_limit();
        if (now < turn || taking_over) {
            return std::nullopt;
        }
        auto change = make_change(inputs);
        const bool may_promote_leaving =
            change.synchronous_replicas > 0 && !(change.leaving.empty() && change.unlisted.empty());
        if (change.candidates.empty() && !may_promote_leaving) {
            return std::nullopt;
        }
        return change;
    }

private:
    [[nodiscard]] clock::duration takeover_limit() const {
        return m_leasing == primary_leasing::needed ? leased_takeover_timeout : takeover_timeout;
    }

    void set_primary(const server_name& server) {
        m_primary = server;
        m_primary_revision = m_store_revision;
    }

    [[nodiscard]] const registered_server* find_primary(const primary_change_inputs& inputs) const {
        const auto found = std::find_if(
            inputs.servers.begin(), inputs.servers.end(),
            [this](const registered_server& server) { return server.id == m_primary; });
        return found == inputs.servers.end() ? nullptr : &*found;
    }

    [[nodiscard]] static bool draining_or_evacuated(const registered_server& server,
                                                    const primary_change_inputs& inputs) {
        return server.draining || inputs.evacuated_zones.contains(server.zone);
    }

    /// Whether the primary, nullptr when it is not listed, may still run and hand over its log.
    [[nodiscard]] bool leaves(const registered_server* primary,
                              const primary_change_inputs& inputs) const {
        if (primary != nullptr) {
            return draining_or_evacuated(*primary, inputs);
        }
        return inputs.synchronous_replicas > 0 &&
               std::any_of(inputs.unlisted.begin(), inputs.unlisted.end(),
                           [this](const auto& server) { return server.id == m_primary; });
    }

    [[nodiscard]] std::optional<clock::time_point>
    change_due_since(const primary_change_inputs& inputs, clock::time_point now) const {
        if (inputs.servers.empty()) {
            return std::nullopt;
        }
        const auto* primary = find_primary(inputs);
        if (primary == nullptr || m_promotion_failed || draining_or_evacuated(*primary, inputs)) {
            return now;
        }
        const auto& own = inputs.own;
        if (own.server != m_primary || !own.failing_since ||
            now - *own.failing_since < primary_failure_timeout) {
            return std::nullopt;
        }
        return most_instances_reach_primary(inputs) ? std::nullopt : std::optional(now);
    }

    /// Whether more instances reach the primary than fail to reach it. The primary is then kept,
    /// because a change interrupts service for all instances.
    [[nodiscard]] bool most_instances_reach_primary(const primary_change_inputs& inputs) const {
        int reaching = 0;
        int failing = 1;
        for (const auto& [id, evidence] : inputs.peers) {
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

    /// This instance's turn, counted from 0; nullopt when it may not promote.
    [[nodiscard]] std::optional<int> rank(const primary_change_inputs& inputs) const {
        if (inputs.last_promoter == m_own.id) {
            return 0;
        }
        int turn = inputs.last_promoter.empty() ? 0 : 1;
        for (const auto& instance : inputs.instances) {
            if (instance.id == m_own.id) {
                return turn;
            }
            turn += instance.id == inputs.last_promoter ? 0 : 1;
        }
        return std::nullopt;
    }

    [[nodiscard]] primary_change make_change(const primary_change_inputs& inputs) const {
        primary_change change;
        const auto* primary = find_primary(inputs);
        change.from = m_primary;
        change.reason = leaves(primary, inputs) ? change_reason::planned : change_reason::lost;
        change.synchronous_replicas = inputs.synchronous_replicas;
        std::copy_if(inputs.unlisted.begin(), inputs.unlisted.end(),
                     std::back_inserter(change.unlisted),
                     [this](const auto& server) { return server.id != m_primary; });
        for (const auto& server : inputs.servers) {
            if (server.id != m_primary) {
                auto& list =
                    draining_or_evacuated(server, inputs) ? change.leaving : change.candidates;
                list.push_back(server.id);
            }
        }
        return change;
    }

    registered_instance m_own;
    primary_leasing m_leasing;
    bool m_ordered = false; ///< a promotion order is known
    server_name m_primary;
    store_revision m_primary_revision; ///< store revision at which m_primary was set
    store_revision m_store_revision;
    std::uint64_t m_term = 0;
    bool m_promotion_failed = false;
    bool m_just_promoted = false; ///< due_change() has yet to set m_promoted_at
    std::optional<clock::time_point> m_promoted_at;
    std::optional<clock::time_point> m_due_since;
};

} // namespace

std::unique_ptr<primary_monitor> make_primary_monitor(const registered_instance& own,
                                                      primary_leasing leasing) {
    return std::make_unique<ranked_primary_monitor>(own, leasing);
}

} // namespace oriole::fleet
