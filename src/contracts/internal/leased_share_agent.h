#pragma once

#include "contracts/demand_meter.h"
#include "contracts/share_agent.h"
#include "contracts/share_holding.h"
#include "contracts/share_planner.h"

#include <memory>

namespace oriole::contracts {

class leased_share_agent final : public share_agent {
public:
    /// Replaceable implementations that the agent consists of.
    struct components {
        std::unique_ptr<share_holding> holding;
        std::unique_ptr<share_planner> planner;
        std::unique_ptr<demand_meter> meter;
    };

    /// `initial_ledger` is used while the platform stores no ledger for the zone.
    leased_share_agent(instance_id self, zone_name zone, share_ledger initial_ledger,
                       components dependencies);

    void set_view(share_view view) override;
    void set_rates(std::map<account_name, rate> rates) override;
    void add_demand(const account_name& account, double weight) override;
    [[nodiscard]] share_actions tick(clock::time_point now) override;
    [[nodiscard]] share_actions on_share_request(const share_request& request,
                                                 clock::time_point now) override;
    [[nodiscard]] share_actions on_share_response(const share_response& response,
                                                  clock::time_point now) override;
    [[nodiscard]] share_actions on_ledger(std::optional<share_ledger> ledger, std::uint64_t version,
                                          clock::time_point now) override;
    void on_ledger_unavailable() override;
    [[nodiscard]] share_actions on_written(ledger_write_result result, std::uint64_t version,
                                           clock::time_point now) override;
    [[nodiscard]] share_actions leave(clock::time_point now) override;
    [[nodiscard]] std::map<account_name, share> shares(clock::time_point now) const override;
    [[nodiscard]] bool is_ready(clock::time_point now) const override;

private:
    /// The zone's ledger as last read from or written to the platform.
    struct known_ledger {
        share_ledger value;
        std::uint64_t version = 0;
    };

    [[nodiscard]] bool is_coordinator() const;
    [[nodiscard]] std::optional<instance_id> coordinator() const;
    [[nodiscard]] account_parts needed_parts() const;
    [[nodiscard]] account_parts wanted_loans(clock::time_point now) const;
    /// Loans wanted by the demand of about the last second, for granting subleases. Unlike
    /// `wanted_loans`, it does not fall slowly; the slow fall avoids moving loans back and forth in
    /// the ledger.
    [[nodiscard]] account_parts recently_wanted_loans(clock::time_point now) const;
    [[nodiscard]] account_parts missing_loan_parts(clock::time_point now) const;
    [[nodiscard]] bool renewal_is_due(clock::time_point now) const;
    void renew(share_actions& actions, clock::time_point now);
    void request_missing_loans(share_actions& actions, clock::time_point now);
    void coordinate(share_actions& actions, clock::time_point now);
    void plan_write(share_actions& actions, clock::time_point now);
    void send_responses(share_actions& actions, const share_ledger& before, clock::time_point now);
    void send_zone_messages(share_actions& actions);
    void apply_renewal_response(const share_response& response, clock::time_point now);
    [[nodiscard]] share_actions with_changed_shares(share_actions actions, clock::time_point now);

    instance_id m_self;
    zone_name m_zone;
    share_ledger m_initial_ledger;
    components m_components;
    share_view m_view;
    std::map<account_name, rate> m_rates;
    bool m_has_left = false;
    std::optional<clock::time_point> m_first_renewal_confirmed;
    std::optional<clock::time_point> m_last_renewal;
    clock::time_point m_next_renewal;
    clock::time_point m_next_sublease_request;
    account_parts m_last_requested_loans;
    std::map<account_name, share> m_last_reported_shares;
    std::size_t m_next_peer = 0;
    std::uint64_t m_zone_request_sequence = 0;

    std::optional<known_ledger> m_ledger;
    std::optional<share_ledger> m_pending_write;
    bool m_is_reading = false;
    /// Whether the planner got requests or transfers since the last write.
    bool m_has_unplanned_requests = false;
    std::optional<clock::time_point> m_last_write;
    clock::time_point m_next_round;
    clock::time_point m_next_urgency_check;
};

} // namespace oriole::contracts
