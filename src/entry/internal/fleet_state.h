#pragma once

#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "entry/internal/evacuated_zones.h"
#include "entry/internal/evidence_record.h"
#include "entry/internal/instance_registry.h"
#include "entry/internal/primary_leases.h"
#include "entry/types/peer_report.h"
#include "entry/types/traffic_report.h"
#include "fleet/duty_lease.h"
#include "fleet/primary_monitor.h"
#include "fleet/rate_lending.h"
#include "fleet/server_directory.h"
#include "fleet/types/fleet_view.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// The control thread's state of the fleet, from the store, from other instances and from its own
/// traffic, and the view derived from it. Does no I/O except logging. Not thread-safe.
class fleet_state {
public:
    /// `zone_count` is the number of availability zones of the deployment; it is used only where
    /// leases on the primaries are needed.
    fleet_state(fleet::registered_instance own, decision_log& log,
                fleet::primary_leasing leasing = fleet::primary_leasing::not_needed,
                std::size_t zone_count = 1);

    /// Applies the configuration that the store holds at `revision`, unless the current one is at
    /// least as new by fleet::configuration_rank. `source` is where the configuration was received
    /// from; it is only logged.
    void update_configuration(std::shared_ptr<const fleet::configuration> config,
                              const fleet::store_revision& revision, std::string_view source);

    void update_servers(const store_page<fleet::registered_server>& page, bool is_snapshot,
                        clock::time_point now);

    void update_evacuations(const store_page<evacuation>& page, bool is_snapshot,
                            clock::time_point now);

    void update_instances(const store_page<fleet::registered_instance>& page,
                          clock::time_point now);

    /// Returns whether the store was restored from an older copy since the last call. What this
    /// instance wrote to it may be lost.
    [[nodiscard]] bool consume_store_restored() { return std::exchange(m_store_restored, false); }

    /// Records that the store answers again after an outage.
    void store_reconnected(clock::time_point now) { m_directory->store_reconnected(now); }

    void record_traffic(const traffic_report& report);

    /// Merges a report of another instance. `asked` is the boot clock's time before the report was
    /// requested. Without it the report was unsolicited: its transit time is unknown, so its
    /// position proofs are not used.
    void merge_report(const peer_report& report, std::optional<clock::time_point> asked,
                      clock::time_point now);

    /// Builds a report for another instance. Unless `request`, the report that it answers, is null,
    /// it includes the objects that are newer than the revisions in the request.
    [[nodiscard]] peer_report report_for(const peer_report* request, clock::time_point now);

    /// Records that the process with this incarnation (process start) has ended, so it admits no
    /// more operations.
    void mark_ended(const instance_id& peer, std::uint64_t incarnation);

    /// Records that the machine of the instance refused a connection. The process with this
    /// incarnation has probably ended, but a partition may refuse connections too, so the instance
    /// counts as alive again after a while.
    void mark_refused(const instance_id& peer, std::uint64_t incarnation, clock::time_point now);

    /// Handles a request for loans of rate shares by the coordinator of account groups, which
    /// admits the operations of their accounts. Returns the groups that are lent to it.
    [[nodiscard]] std::set<int> grant_loans(const peer_report& request, clock::time_point now) {
        return m_rates.lend(request.from, request.wanted_loans, now);
    }

    /// Returns the changes of primary that this instance has to start now, by service.
    [[nodiscard]] std::vector<std::pair<service_name, fleet::primary_change>>
    due_changes(clock::time_point now);

    /// Expires time-dependent state. Returns true when the list of servers has changed.
    [[nodiscard]] bool advance(clock::time_point now);

    [[nodiscard]] fleet::primary_monitor& primary_monitor_of(const service_name& service);

    /// Returns whether this instance may issue the promotion order that follows `last`, the order
    /// that the store holds now.
    [[nodiscard]] bool may_promote(const fleet::promotion_order& last, clock::time_point now) {
        return promotion_lease_of(last.service).may_act(last.holder, last.fence, now);
    }

    /// Records a promotion order that this instance has issued.
    void record_issued_order(const fleet::promotion_order& order, clock::time_point now) {
        promotion_lease_of(order.service).seen(order.fence, now);
        m_last_promoters[order.service] = order.holder;
    }

    void set_last_promoter(const service_name& service, const instance_id& promoter) {
        m_last_promoters[service] = promoter;
    }

    /// Whether this instance needs leases on the primaries that it uses.
    [[nodiscard]] bool leases_needed() const noexcept {
        return m_leasing == fleet::primary_leasing::needed;
    }

    /// Where leases are needed: records that a promotion order exists in the store. Its target is
    /// then the only server that may be used as the primary.
    void learn_order(const fleet::promotion_order& order);

    /// Whether the promotion orders have to be read from the store, where leases are needed.
    [[nodiscard]] bool needs_orders() const {
        return leases_needed() && m_leases.needs_store_read();
    }

    /// Learns the promotion orders from the store's complete list. `asked` is the boot clock's time
    /// before the store was asked.
    void learn_orders(const store_page<fleet::promotion_order>& page, clock::time_point asked);

    /// Fencing token of the service's newest known order, where leases are needed.
    [[nodiscard]] std::uint64_t known_order_fence(const service_name& service) const {
        return m_leases.order_fence(service);
    }

    /// Where leases are needed: the newest known order of the service; its fence is 0 when none is
    /// known.
    [[nodiscard]] reported_order known_order(const service_name& service) const;

    /// Where leases are needed: the newest known orders of the services on whose primary this
    /// instance may hold a lease. Their holders are not known.
    [[nodiscard]] std::map<service_name, fleet::promotion_order> orders_of_leases() const;

    /// The instances that may hold a lease on the service's primary, perhaps including this one.
    [[nodiscard]] std::vector<fleet::registered_instance>
    lease_holders(const service_name& service) const;

    /// Returns the leases that have changed since the last call.
    [[nodiscard]] std::map<service_name, fleet::primary_grant> consume_leases() {
        return m_leases.consume_changes();
    }

    /// Returns whether a promotion order was learned since the last call.
    [[nodiscard]] bool consume_order_learned() { return std::exchange(m_order_learned, false); }

    [[nodiscard]] std::optional<fleet::registered_server> find_server(const server_name& id) const;

    /// As find_server(), also for a server whose entry was removed a short time ago.
    [[nodiscard]] std::optional<fleet::registered_server>
    find_known_server(const server_name& id, clock::time_point now) const;

    /// The other instances that are considered alive.
    [[nodiscard]] const std::vector<fleet::registered_instance>& peers() const noexcept {
        return m_instances.live();
    }

    /// Interval at which this instance renews its entry in the store and lists the others.
    [[nodiscard]] clock::duration renewal_interval() const {
        return m_instances.renewal_interval();
    }

    /// The report peers: the instances with which this one exchanges reports.
    [[nodiscard]] const std::vector<fleet::registered_instance>& report_peers() const noexcept {
        return m_roles->report_peers;
    }

    /// The collectors of usage by zone, perhaps including this instance.
    [[nodiscard]] const std::map<zone_name, std::vector<fleet::registered_instance>>&
    usage_collectors() const noexcept {
        return m_roles->usage_collectors;
    }

    /// The watchers of all zones, perhaps including this instance.
    [[nodiscard]] const std::vector<fleet::registered_instance>& all_watchers() const noexcept {
        return m_roles->all_watchers;
    }

    /// Returns whether this instance requests reports from the peer, rather than only receiving the
    /// peer's requests.
    [[nodiscard]] bool is_polled_peer(const instance_id& peer) const {
        return m_roles->polled_peers.contains(peer);
    }

    /// Returns whether this instance has to watch the store: it is a watcher of its zone, or no
    /// watcher of its zone has answered it recently.
    [[nodiscard]] bool watches_store(clock::time_point now) const;

    [[nodiscard]] const instance_id& own() const noexcept { return m_own.id; }

    [[nodiscard]] const zone_name& own_zone() const noexcept { return m_own.zone; }

    [[nodiscard]] std::size_t zone_count() const noexcept { return m_zone_count; }

    [[nodiscard]] account_name any_account() const;

    /// Returns whether this instance sees a primary failing, in which case the report peers are
    /// asked at once.
    [[nodiscard]] bool any_primary_failing() const { return m_evidence.any_primary_failing(); }

    /// Returns whether, within this zone, the primaries of at least half of the services are
    /// failing.
    [[nodiscard]] bool most_primaries_failing(clock::time_point now) const;

    /// Returns whether a watcher of this zone reports that the zone is cut off; nullopt when this
    /// instance is a watcher itself and has to find out on its own.
    [[nodiscard]] std::optional<bool> zone_isolated(clock::time_point now) const;

    /// Sets whether this instance reports its zone as cut off.
    void set_isolated(bool isolated) noexcept { m_isolated = isolated; }

    [[nodiscard]] fleet::fleet_view make_view(clock::time_point now) const;

    /// Returns whether this instance's roles and report peers have changed since the last call, in
    /// which case the report peers are asked at once.
    [[nodiscard]] bool consume_roles_changed() { return std::exchange(m_roles_changed, false); }

    /// Returns whether, since the last call, an instance reported that is missing from the list of
    /// instances, so that the list is out of date.
    [[nodiscard]] bool consume_unlisted() { return m_instances.consume_unlisted(); }

    /// Returns the position proofs received from other instances since the last call.
    [[nodiscard]] std::map<service_name, sessions::position_proof> consume_proofs() {
        return std::exchange(m_peer_proofs, {});
    }

private:
    struct report_sequence {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    struct isolation_report {
        bool isolated = false;
        clock::time_point received_at;
    };

    /// Learns that the store has reached `era`.
    void note_era(std::uint64_t era);
    /// False for a report without eras once the store was restored: its revisions may be of any
    /// era.
    [[nodiscard]] bool has_comparable_revisions(const peer_report& report) const;
    /// The revisions in the report; where it states no eras, with those of this instance.
    [[nodiscard]] known_revisions revisions_of(const peer_report& report) const;
    [[nodiscard]] fleet::duty_lease& promotion_lease_of(const service_name& service);
    void update_primary_monitors();
    void update_roles();
    void apply_released_loans(const peer_report& report);
    void merge_orders(const peer_report& report, std::optional<clock::time_point> asked);
    [[nodiscard]] fleet::primary_change_inputs situation(const service_name& service,
                                                         clock::time_point now) const;
    [[nodiscard]] std::optional<fleet::usable_server> usable(const fleet::registered_server& server,
                                                             clock::time_point now) const;

    fleet::registered_instance m_own;
    decision_log& m_log;
    fleet::primary_leasing m_leasing;
    std::size_t m_zone_count;
    std::shared_ptr<const fleet::configuration> m_config;
    std::shared_ptr<const fleet::key_index> m_accounts_by_key;
    known_revisions m_revisions;
    std::unique_ptr<fleet::server_directory> m_directory;
    std::vector<fleet::registered_server> m_servers;
    std::map<server_name, clock::time_point> m_unavailable_since;
    evacuated_zones m_evacuated;
    instance_registry m_instances; ///< also determines this instance's shares of the account rates
    evidence_record m_evidence;
    std::shared_ptr<const fleet::role_assignment> m_roles;
    fleet::rate_lending m_rates;
    std::map<service_name, std::unique_ptr<fleet::primary_monitor>> m_primary_monitors;
    std::map<service_name, instance_id> m_last_promoters;
    std::map<service_name, fleet::duty_lease> m_promotion_leases;
    primary_leases m_leases;
    std::map<service_name, sessions::position_proof> m_peer_proofs;
    /// When a watcher of this instance's zone last answered a request for its report.
    std::optional<clock::time_point> m_watcher_answered_at;
    /// Last isolation reports of the watchers in this instance's zone.
    std::map<instance_id, isolation_report> m_isolation_reports;
    /// Sequence number of the newest report, by instance.
    std::map<instance_id, report_sequence> m_last_sequences;
    std::uint64_t m_last_own_sequence = 0; ///< sequence number of this instance's last report
    std::uint64_t m_era = 0;               ///< newest known era of the store
    bool m_store_restored = false;
    bool m_roles_changed = false;
    bool m_order_learned = false;
    bool m_isolated = false;
};

} // namespace oriole::entry
