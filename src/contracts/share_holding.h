#pragma once

#include "base/clock.h"
#include "contracts/types/share_ledger.h"
#include "contracts/types/share_messages.h"

#include <map>

namespace oriole::contracts {

/// The parts of each account's rate that one instance holds: the fixed floor of its slot, loans
/// recorded in the zone's ledger, and subleases, which are loan parts passed on between instances
/// of the zone. The instance stops spending parts before it hands them over, so a lost message
/// leaves parts unused but never lets two instances spend them: callers must apply the reduced
/// `shares` on all traffic threads before they send a message that a call returned. Not
/// thread-safe; owned by the control thread.
class share_holding {
public:
    virtual ~share_holding() = default;

    /// Reduces the loans to their targets and returns a request to the coordinator that renews the
    /// rest. `wanted` are the loan parts that the demand needs.
    [[nodiscard]] virtual share_request renew(const account_parts& wanted,
                                              clock::time_point now) = 0;

    /// Gives up all parts permanently and returns the message that tells the coordinator.
    [[nodiscard]] virtual share_request leave(clock::time_point now) = 0;

    /// Applies the coordinator's response to the latest renewal. Responses to earlier renewals are
    /// ignored, because the loans they name may have been reduced since.
    virtual void apply_renewal(const share_response& response, clock::time_point now) = 0;

    /// Returns a request to `peer` for loan parts that are missing here.
    [[nodiscard]] virtual share_request request_sublease(const instance_id& peer,
                                                         const account_parts& missing,
                                                         clock::time_point now) = 0;

    /// Subleases loan parts that are not needed here to another instance for a short time. The same
    /// request always gets the same parts with the remaining time of the sublease. A response
    /// without grants means that there is nothing to sublease.
    [[nodiscard]] virtual share_response grant_sublease(const share_request& request,
                                                        const account_parts& wanted,
                                                        clock::time_point now) = 0;

    /// Adds the parts that a peer subleased. The sublease is counted from the time the request was
    /// sent. Unexpected and repeated responses are ignored.
    virtual void accept_sublease(const share_response& response, clock::time_point now) = 0;

    /// The share that this instance may spend, for each of `accounts`.
    [[nodiscard]] virtual std::map<account_name, share>
    shares(const std::vector<account_name>& accounts, clock::time_point now) const = 0;

    /// Parts of every account's rate that the instance's slot guarantees; 0 without a slot or after
    /// the lease expired.
    [[nodiscard]] virtual share_parts floor_parts(clock::time_point now) const = 0;

    /// Whether the coordinator has confirmed the latest renewal.
    [[nodiscard]] virtual bool is_confirmed() const = 0;

    /// Whether the coordinator has lowered a loan's target below what the instance still holds.
    [[nodiscard]] virtual bool must_reduce() const = 0;
};

} // namespace oriole::contracts
