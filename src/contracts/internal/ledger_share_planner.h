#pragma once

#include "contracts/share_planner.h"
#include "contracts/types/share_lease.h"

#include <map>
#include <set>

namespace oriole::contracts {

class ledger_share_planner : public share_planner {
public:
    ledger_share_planner(instance_id self, zone_name zone, const share_lease& lease);

    void record_request(const share_request& request) override;
    void record_transfers(const share_response& response) override;
    void observe(const share_ledger& stored, clock::time_point now) override;
    [[nodiscard]] share_ledger plan(const share_ledger& stored, clock::time_point now) override;
    [[nodiscard]] bool is_urgent(const share_ledger& stored,
                                 const share_ledger& planned) const override;
    [[nodiscard]] std::vector<std::pair<instance_id, share_response>>
    responses(const share_ledger& previous, const share_ledger& stored) override;
    [[nodiscard]] std::vector<std::pair<zone_name, share_response>>
    pending_transfers(const share_ledger& stored) const override;
    [[nodiscard]] std::vector<account_request> shortages(const share_ledger& stored) const override;

private:
    struct observed_renewal {
        std::uint64_t sequence = 0;
        clock::time_point first_seen;
    };

    using loans_by_holder = std::map<instance_id, account_parts>;

    void apply_requests(share_ledger::builder& next) const;
    void apply_departure(share_ledger::builder& next, const share_request& request) const;
    void apply_renewal(share_ledger::builder& next, const share_request& request) const;
    void reclaim_expired(share_ledger::builder& next, clock::time_point now) const;
    void apply_incoming_transfers(share_ledger::builder& next) const;
    void remove_confirmed_transfers(share_ledger::builder& next) const;
    void assign_slots(share_ledger::builder& next) const;
    void divide_loans(share_ledger::builder& next, clock::time_point now);
    void divide_account_loans(share_ledger::builder& next, const account_name& account,
                              const std::vector<instance_id>& holders, loans_by_holder& loans);
    void add_outgoing_transfers(share_ledger::builder& next, const account_name& account,
                                share_parts available,
                                const std::map<zone_name, share_parts>& due) const;
    [[nodiscard]] share_parts wanted(const instance_id& holder, const account_name& account,
                                     share_parts held) const;
    /// Parts to transfer to each other zone, if this zone has `total` loan parts and its instances
    /// demand `wanted`.
    [[nodiscard]] std::map<zone_name, share_parts>
    parts_due_to_zones(const account_name& account, share_parts total, share_parts wanted) const;
    [[nodiscard]] std::set<account_name> accounts(const share_ledger& ledger) const;
    [[nodiscard]] bool is_renewal_overdue(const instance_id& holder, clock::time_point now) const;
    [[nodiscard]] share_response make_response(const instance_id& id, const share_holder& holder,
                                               const share_ledger& stored) const;

    instance_id m_self;
    zone_name m_zone;
    share_lease m_lease;
    /// Latest request of each instance that is not recorded in the ledger yet.
    std::map<instance_id, share_request> m_requests;
    std::map<instance_id, account_parts> m_demand;
    std::set<instance_id> m_departed;
    std::map<instance_id, observed_renewal> m_observed_renewals;
    std::map<zone_name, share_request> m_zone_requests; ///< latest request of each other zone
    std::map<zone_name, std::vector<loan_transfer>> m_incoming_transfers;
    /// Zones that have not confirmed a transfer yet, so that their requests are outdated.
    std::set<zone_name> m_zones_awaiting_transfer;
    loans_by_holder m_loan_targets;
    loans_by_holder m_sent_targets; ///< loan targets last sent to each holder
};

} // namespace oriole::contracts
