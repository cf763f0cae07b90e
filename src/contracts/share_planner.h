#pragma once

#include "base/clock.h"
#include "contracts/types/share_ledger.h"
#include "contracts/types/share_messages.h"

#include <utility>
#include <vector>

namespace oriole::contracts {

/// Plans changes of a zone's share ledger: joining, renewing, returning and reclaiming loans, and
/// moving them to where demand is. Any instance may run a planner, and several may run at a time:
/// the conditional write of the ledger decides between them, and every state of the ledger keeps
/// the fleet within the rates. Not thread-safe; owned by the control thread.
class share_planner {
public:
    virtual ~share_planner() = default;

    /// Records an instance's renewal or departure, or another zone's request for loans, for the
    /// next plan.
    virtual void record_request(const share_request& request) = 0;

    /// Records loan parts that another zone transfers to this one, for the next plan.
    virtual void record_transfers(const share_response& response) = 0;

    /// Records that the platform stores `stored`. The time after which a holder's parts are
    /// reclaimed starts when this planner first sees the holder's latest renewal in the ledger.
    virtual void observe(const share_ledger& stored, clock::time_point now) = 0;

    /// Returns the ledger that should replace `stored`. Precondition: `stored` was passed to the
    /// latest `observe`.
    [[nodiscard]] virtual share_ledger plan(const share_ledger& stored, clock::time_point now) = 0;

    /// Whether `planned` should be written before the next regular round: an instance joins or
    /// leaves, a renewal is overdue, or many parts move.
    [[nodiscard]] virtual bool is_urgent(const share_ledger& stored,
                                         const share_ledger& planned) const = 0;

    /// Responses to the holders whose renewal was recorded in `stored`, whose loans have changed or
    /// whose target was lowered. `previous` is the ledger that the last responses were based on.
    [[nodiscard]] virtual std::vector<std::pair<instance_id, share_response>>
    responses(const share_ledger& previous, const share_ledger& stored) = 0;

    /// Transfers in `stored` that the receiving zone has not yet confirmed.
    [[nodiscard]] virtual std::vector<std::pair<zone_name, share_response>>
    pending_transfers(const share_ledger& stored) const = 0;

    /// Accounts for which the zone's loans do not cover the demand of its instances, to be sent to
    /// other zones: `retained` is what the zone has, `wanted` the total demand.
    [[nodiscard]] virtual std::vector<account_request>
    shortages(const share_ledger& stored) const = 0;
};

} // namespace oriole::contracts
