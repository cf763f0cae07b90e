#pragma once

#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "entry/internal/evidence_record.h"
#include "entry/internal/instance_registry.h"
#include "entry/types/peer_report.h"
#include "entry/types/traffic_report.h"
#include "fleet/order_lease.h"
#include "fleet/primary_watch.h"
#include "fleet/rate_lending.h"
#include "fleet/server_directory.h"
#include "fleet/types/fleet_view.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// What the control thread knows, from the store, from other instances and from its own traffic,
/// and the view that follows from it. Knows no socket. Not thread-safe.
class fleet_knowledge {
public:
    fleet_knowledge(fleet::listed_instance own, decision_log& log);

    /// A configuration of the store's revision. Older ones than the known one are ignored.
    void take_configuration(std::shared_ptr<const fleet::configuration> config,
                            std::uint64_t revision, std::string_view source);

    void take_servers(const store_page<fleet::listed_server>& page, bool whole,
                      clock::time_point now);

    void take_evacuations(const store_page<evacuation>& page, bool whole, clock::time_point now);

    void take_instances(const store_page<fleet::listed_instance>& page, clock::time_point now);

    /// The store answered after an outage.
    void store_regained(clock::time_point now) { m_directory->store_regained(now); }

    void take_traffic(const traffic_report& report);

    /// Takes over what another instance tells. `asked` is the boot clock's time before it was
    /// asked; without it the report was unasked and its proofs prove nothing.
    void take_report(const peer_report& report, std::optional<clock::time_point> asked,
                     clock::time_point now);

    /// What to tell another instance, with the objects that are newer than what it knows.
    [[nodiscard]] peer_report report_for(const known_revisions* peer_knows, clock::time_point now);

    /// The process of that start has ended, so it spends nothing any more.
    void mark_ended(const instance_id& peer, std::uint64_t incarnation);

    /// A keeper asks for loans; the rate groups that it gets.
    [[nodiscard]] std::set<int> lend(const peer_report& question, clock::time_point now) {
        return m_rates.lend(question.from, question.wanted_loans, now);
    }

    /// Changes of primary that are due at this instance, by service.
    [[nodiscard]] std::vector<std::pair<service_name, fleet::primary_change>>
    due_changes(clock::time_point now);

    /// Ages what depends on time. True when the view has changed.
    [[nodiscard]] bool advance(clock::time_point now);

    [[nodiscard]] fleet::primary_watch& primary_of(const service_name& service);

    /// Whether this instance may give the next order after `last`, which the store holds now.
    [[nodiscard]] bool may_order(const fleet::promotion_order& last, clock::time_point now) {
        return m_orders.may_order(last, now);
    }

    /// This instance has given the order.
    void note_order(const fleet::promotion_order& order, clock::time_point now) {
        m_orders.seen(order.service, order.revision, now);
        m_holders[order.service] = order.holder;
    }

    void set_last_holder(const service_name& service, const instance_id& holder) {
        m_holders[service] = holder;
    }

    [[nodiscard]] std::optional<fleet::listed_server> find(const server_name& id) const;

    /// The other instances that live, as far as is known.
    [[nodiscard]] const std::vector<fleet::listed_instance>& peers() const noexcept {
        return m_instances.live();
    }

    /// The instances with which this one exchanges reports.
    [[nodiscard]] const std::vector<fleet::listed_instance>& partners() const noexcept {
        return m_roles->partners;
    }

    /// Whether the instance has to be asked, not only heard.
    [[nodiscard]] bool is_source(const instance_id& peer) const {
        return m_roles->sources.contains(peer);
    }

    /// Whether this instance watches the store for its zone, or knows none that does.
    [[nodiscard]] bool watches_store() const;

    [[nodiscard]] const instance_id& own() const noexcept { return m_own.id; }

    [[nodiscard]] account_name any_account() const;

    /// Whether a primary fails here, so that the others should be asked at once.
    [[nodiscard]] bool primary_fails() const { return m_evidence.primary_fails(); }

    /// Whether the primaries of at least half of the services that the zone uses fail in it.
    [[nodiscard]] bool most_primaries_fail(clock::time_point now) const;

    /// Whether the zone's watchers say that it is cut off; nullopt when this instance is one.
    [[nodiscard]] std::optional<bool> zone_isolated(clock::time_point now) const;

    /// What reports say of this instance's zone from now on.
    void set_isolated(bool isolated) noexcept { m_isolated = isolated; }

    [[nodiscard]] fleet::fleet_view make_view(clock::time_point now) const;

    /// Whether this instance's partners have changed since the last call, so that they should be
    /// asked.
    [[nodiscard]] bool take_roles_changed() { return std::exchange(m_roles_changed, false); }

    /// Whether an instance has reported that is not listed yet, so that the list is out of date.
    [[nodiscard]] bool take_unlisted() { return m_instances.take_unlisted(); }

    /// Proofs that were learnt from other instances since the last call.
    [[nodiscard]] std::map<service_name, sessions::position_proof> take_proofs() {
        return std::exchange(m_learnt, {});
    }

private:
    struct report_number {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
    };

    struct isolation_report {
        bool isolated = false;
        clock::time_point heard;
    };

    void update_watches();
    void update_roles();
    void take_released_loans(const peer_report& report);
    [[nodiscard]] fleet::primary_situation situation(const service_name& service,
                                                     clock::time_point now) const;
    [[nodiscard]] std::optional<fleet::usable_server> usable(const fleet::listed_server& server,
                                                             clock::time_point now) const;

    fleet::listed_instance m_own;
    decision_log& m_log;
    std::shared_ptr<const fleet::configuration> m_config;
    std::shared_ptr<const fleet::key_index> m_accounts_by_key;
    known_revisions m_known;
    std::unique_ptr<fleet::server_directory> m_directory;
    std::vector<fleet::listed_server> m_servers;
    std::map<server_name, clock::time_point> m_leaving_since;
    std::map<zone_name, clock::time_point> m_evacuated; ///< since when
    instance_registry m_instances; ///< without them the parts of the rates are not known
    evidence_record m_evidence;
    std::shared_ptr<const fleet::role_assignment> m_roles;
    fleet::rate_lending m_rates;
    std::map<service_name, std::unique_ptr<fleet::primary_watch>> m_watches;
    std::map<service_name, instance_id> m_holders;
    fleet::order_lease m_orders;
    std::map<service_name, sessions::position_proof> m_learnt;
    std::map<instance_id, isolation_report> m_isolation_heard; ///< from the own zone
    std::map<instance_id, report_number> m_numbers;            ///< of the newest report
    std::uint64_t m_number = 0;                                ///< of this instance's last report
    bool m_roles_changed = false;
    bool m_isolated = false;
};

} // namespace oriole::entry
