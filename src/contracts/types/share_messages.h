#pragma once

#include "base/types/name.h"
#include "contracts/types/share.h"
#include "contracts/types/share_ledger.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriole::contracts {

/// Purpose of a share_request and of the share_response to it.
enum class share_purpose {
    renew,    ///< an instance renews its leases with its zone's coordinator
    leave,    ///< an instance permanently returns all its parts
    sublease, ///< an instance requests loan parts from a peer in its zone
    zone      ///< a coordinator requests loan parts from another zone's
};

/// Requested parts of one account's rate.
struct account_request {
    account_name account;
    /// For `renew`, the loan parts to which the requester had reduced itself before it sent the
    /// request; for `leave`, the parts that it has subleased to peers; for `zone`, the loan parts
    /// that the requesting zone has.
    share_parts retained = 0;
    /// For `renew` and `zone`, the loan parts that the demand needs; for `sublease`, the loan parts
    /// that are missing.
    share_parts wanted = 0;

    friend auto operator<=>(const account_request&, const account_request&) = default;
};

/// The peer message share.ask. It may be lost, repeated or delayed without harm.
struct share_request {
    instance_id requester;
    zone_name zone; ///< zone of the requester
    share_purpose purpose = share_purpose::renew;
    std::uint64_t sequence = 0; ///< unique per requester; increases with each request
    std::uint64_t received = 0; ///< `zone`: number of the last transfer from the recipient's zone
    std::vector<account_request> account_requests;

    friend auto operator<=>(const share_request&, const share_request&) = default;
};

/// Granted parts of one account's rate.
struct share_grant {
    account_name account;
    share_parts parts = 0;  ///< `renew`: loan in the ledger; `sublease`: subleased parts
    share_parts target = 0; ///< `renew`: loan to which the instance should reduce itself

    friend auto operator<=>(const share_grant&, const share_grant&) = default;
};

/// The peer message share.give. It may be lost, repeated or delayed without harm.
struct share_response {
    instance_id responder;
    zone_name zone; ///< zone of the responder
    share_purpose purpose = share_purpose::renew;
    std::uint64_t sequence = 0;         ///< sequence of the request that is answered
    share_parts floor = 0;              ///< `renew`: parts that the slot guarantees, 0 without one
    std::chrono::milliseconds lease{0}; ///< `sublease`: duration since the request was sent
    std::chrono::milliseconds next_round{0}; ///< `renew`: time until the next ledger write
    std::vector<share_grant> grants;         ///< `renew` and `sublease` only
    std::vector<loan_transfer> transfers;    ///< `zone` only

    friend auto operator<=>(const share_response&, const share_response&) = default;
};

} // namespace oriole::contracts
