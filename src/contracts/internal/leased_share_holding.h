#pragma once

#include "contracts/share_holding.h"
#include "contracts/types/share_lease.h"

#include <optional>
#include <vector>

namespace oriole::contracts {

class leased_share_holding : public share_holding {
public:
    leased_share_holding(instance_id self, zone_name zone, const share_lease& lease);

    [[nodiscard]] share_request renew(const account_parts& wanted, clock::time_point now) override;
    [[nodiscard]] share_request leave(clock::time_point now) override;
    void apply_renewal(const share_response& response, clock::time_point now) override;
    [[nodiscard]] share_request request_sublease(const instance_id& peer,
                                                 const account_parts& missing,
                                                 clock::time_point now) override;
    [[nodiscard]] share_response grant_sublease(const share_request& request,
                                                const account_parts& wanted,
                                                clock::time_point now) override;
    void accept_sublease(const share_response& response, clock::time_point now) override;
    [[nodiscard]] std::map<account_name, share> shares(const std::vector<account_name>& accounts,
                                                       clock::time_point now) const override;
    [[nodiscard]] share_parts floor_parts(clock::time_point now) const override;
    [[nodiscard]] bool is_confirmed() const override;
    [[nodiscard]] bool must_reduce() const override;

protected:
    /// Loan parts that this instance has subleased to a peer.
    struct outgoing_sublease {
        instance_id requester;
        std::uint64_t sequence = 0;
        account_name account;
        share_parts parts = 0;
        clock::time_point expires; ///< when the peer stops spending the parts
    };

    /// Loan parts that a peer has subleased to this instance.
    struct incoming_sublease {
        account_name account;
        share_parts parts = 0;
        clock::time_point expires;
    };

    struct pending_request {
        instance_id peer;
        std::uint64_t sequence = 0;
        clock::time_point sent;
    };

    struct loan {
        share_parts held = 0;
        share_parts target = 0;
    };

    /// Loan parts that the instance may spend itself. Virtual so that a test can replace it with an
    /// incorrect policy and check that the test harness detects it.
    [[nodiscard]] virtual share_parts spendable(const account_name& account,
                                                clock::time_point now) const;

    [[nodiscard]] share_parts subleased_parts(const account_name& account,
                                              clock::time_point now) const;

    [[nodiscard]] share_parts held_parts(const account_name& account) const;

private:
    /// Whether subleased parts still belong to the peer; includes the margin for different clock
    /// speeds.
    [[nodiscard]] bool is_reserved(const outgoing_sublease& granted, clock::time_point now) const;
    void drop_expired(clock::time_point now);
    void add_outgoing_subleases(const share_request& request, const account_parts& wanted,
                                clock::time_point now);
    [[nodiscard]] share_response make_sublease_response(const share_request& request,
                                                        clock::time_point now) const;

    instance_id m_self;
    zone_name m_zone;
    share_lease m_lease;
    bool m_has_left = false;
    std::uint64_t m_sequence = 0;         ///< sequence of the latest request of any purpose
    std::uint64_t m_renewal_sequence = 0; ///< sequence of the latest renewal
    bool m_is_renewal_confirmed = false;
    clock::time_point m_renewal_sent;
    share_parts m_floor = 0;
    clock::time_point m_floor_expires;
    clock::time_point m_loans_expire;
    std::map<account_name, loan> m_loans;
    std::vector<outgoing_sublease> m_outgoing_subleases;
    std::vector<incoming_sublease> m_incoming_subleases;
    std::vector<pending_request> m_pending_requests;
};

} // namespace oriole::contracts
