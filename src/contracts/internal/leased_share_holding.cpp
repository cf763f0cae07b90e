#include "contracts/internal/leased_share_holding.h"

#include <algorithm>
#include <utility>

namespace oriole::contracts {

leased_share_holding::leased_share_holding(instance_id self, zone_name zone,
                                           const share_lease& lease)
    : m_self(std::move(self)), m_zone(std::move(zone)), m_lease(lease) {}

share_request leased_share_holding::renew(const account_parts& wanted, clock::time_point now) {
    drop_expired(now);
    share_request request{m_self, m_zone, share_purpose::renew, ++m_sequence, 0, {}};
    m_renewal_sequence = m_sequence;
    m_renewal_sent = now;
    m_is_renewal_confirmed = false;
    for (const auto& [account, parts] : wanted) {
        m_loans.try_emplace(account);
    }
    for (auto& [account, value] : m_loans) {
        // Subleased parts stay in this instance's ledger entry until the sublease expires.
        const share_parts granted = subleased_parts(account, now);
        value.held = std::min(value.held, std::max(value.target, granted));
        value.target = std::min(value.target, value.held);
        const auto found = wanted.find(account);
        const share_parts needed = found == wanted.end() ? 0 : found->second;
        request.account_requests.push_back({account, value.held, needed});
    }
    return request;
}

share_request leased_share_holding::leave(clock::time_point now) {
    drop_expired(now);
    m_has_left = true;
    m_floor = 0;
    m_incoming_subleases.clear();
    m_renewal_sequence = ++m_sequence;
    m_renewal_sent = now;
    share_request request{m_self, m_zone, share_purpose::leave, m_sequence, 0, {}};
    // Subleased parts are not returned yet, because the peers may spend them until the sublease
    // expires.
    for (const auto& [account, value] : m_loans) {
        request.account_requests.push_back({account, subleased_parts(account, now), 0});
    }
    m_loans.clear();
    return request;
}

void leased_share_holding::apply_renewal(const share_response& response, clock::time_point now) {
    if (m_has_left || response.purpose != share_purpose::renew ||
        response.sequence != m_renewal_sequence) {
        return;
    }
    drop_expired(now);
    m_is_renewal_confirmed = true;
    m_floor = response.floor;
    m_floor_expires = m_renewal_sent + m_lease.floor();
    m_loans_expire = m_renewal_sent + m_lease.loan();
    m_loans.clear();
    for (const auto& grant : response.grants) {
        m_loans[grant.account] = {grant.parts, std::min(grant.target, grant.parts)};
    }
}

share_request leased_share_holding::request_sublease(const instance_id& peer,
                                                     const account_parts& missing,
                                                     clock::time_point now) {
    drop_expired(now);
    share_request request{m_self, m_zone, share_purpose::sublease, ++m_sequence, 0, {}};
    for (const auto& [account, parts] : missing) {
        request.account_requests.push_back({account, 0, parts});
    }
    m_pending_requests.push_back({peer, request.sequence, now});
    return request;
}

share_response leased_share_holding::grant_sublease(const share_request& request,
                                                    const account_parts& wanted,
                                                    clock::time_point now) {
    drop_expired(now);
    const bool is_repeated = std::any_of(m_outgoing_subleases.begin(), m_outgoing_subleases.end(),
                                         [&](const outgoing_sublease& granted) {
                                             return granted.requester == request.requester &&
                                                    granted.sequence >= request.sequence;
                                         });
    if (!is_repeated && !m_has_left && now < m_loans_expire) {
        // A duplicate of an old request can arrive after its sublease was dropped and then grants
        // parts a second time. The requester no longer accepts them, so they stay unused until that
        // sublease expires.
        add_outgoing_subleases(request, wanted, now);
    }
    return make_sublease_response(request, now);
}

void leased_share_holding::accept_sublease(const share_response& response, clock::time_point now) {
    const auto pending = std::find_if(
        m_pending_requests.begin(), m_pending_requests.end(), [&](const pending_request& request) {
            return request.peer == response.responder && request.sequence == response.sequence;
        });
    if (m_has_left || response.purpose != share_purpose::sublease ||
        pending == m_pending_requests.end()) {
        return;
    }
    const clock::time_point expires = pending->sent + response.lease;
    m_pending_requests.erase(pending);
    for (const auto& grant : response.grants) {
        if (now < expires && grant.parts > 0) {
            m_incoming_subleases.push_back({grant.account, grant.parts, expires});
        }
    }
}

std::map<account_name, share>
leased_share_holding::shares(const std::vector<account_name>& accounts,
                             clock::time_point now) const {
    std::map<account_name, share> result;
    for (const auto& account : accounts) {
        std::vector<share_piece> pieces;
        pieces.emplace_back(m_floor, m_floor_expires);
        pieces.emplace_back(spendable(account, now), m_loans_expire);
        for (const auto& received : m_incoming_subleases) {
            if (received.account == account) {
                pieces.emplace_back(received.parts, received.expires);
            }
        }
        std::erase_if(pieces, [&](const share_piece& piece) { return piece.expires() <= now; });
        result.emplace(account, share(std::move(pieces)));
    }
    return result;
}

share_parts leased_share_holding::floor_parts(clock::time_point now) const {
    return now < m_floor_expires ? m_floor : 0;
}

bool leased_share_holding::is_confirmed() const {
    return m_is_renewal_confirmed;
}

bool leased_share_holding::must_reduce() const {
    return std::any_of(m_loans.begin(), m_loans.end(),
                       [](const auto& entry) { return entry.second.target < entry.second.held; });
}

share_parts leased_share_holding::spendable(const account_name& account,
                                            clock::time_point now) const {
    return std::max<share_parts>(0, held_parts(account) - subleased_parts(account, now));
}

share_parts leased_share_holding::subleased_parts(const account_name& account,
                                                  clock::time_point now) const {
    share_parts sum = 0;
    for (const auto& granted : m_outgoing_subleases) {
        sum += granted.account == account && is_reserved(granted, now) ? granted.parts : 0;
    }
    return sum;
}

share_parts leased_share_holding::held_parts(const account_name& account) const {
    const auto found = m_loans.find(account);
    return found == m_loans.end() ? 0 : found->second.held;
}

bool leased_share_holding::is_reserved(const outgoing_sublease& granted,
                                       clock::time_point now) const {
    return now < granted.expires + m_lease.sublease_margin();
}

void leased_share_holding::drop_expired(clock::time_point now) {
    std::erase_if(m_outgoing_subleases,
                  [&](const outgoing_sublease& granted) { return !is_reserved(granted, now); });
    std::erase_if(m_incoming_subleases,
                  [&](const incoming_sublease& received) { return received.expires <= now; });
    std::erase_if(m_pending_requests, [&](const pending_request& request) {
        return request.sent + m_lease.sublease() <= now;
    });
}

void leased_share_holding::add_outgoing_subleases(const share_request& request,
                                                  const account_parts& wanted,
                                                  clock::time_point now) {
    const clock::time_point expires = std::min(now + m_lease.sublease(), m_loans_expire);
    for (const auto& item : request.account_requests) {
        const auto needed = wanted.find(item.account);
        const share_parts own = needed == wanted.end() ? 0 : needed->second;
        const share_parts spare = spendable(item.account, now) - own;
        const share_parts parts = std::min(spare, item.wanted);
        if (parts > 0) {
            m_outgoing_subleases.push_back(
                {request.requester, request.sequence, item.account, parts, expires});
        }
    }
}

share_response leased_share_holding::make_sublease_response(const share_request& request,
                                                            clock::time_point now) const {
    share_response response{m_self, m_zone, share_purpose::sublease, request.sequence, 0, {}, {},
                            {},     {}};
    for (const auto& granted : m_outgoing_subleases) {
        if (granted.requester != request.requester || granted.sequence != request.sequence ||
            granted.expires <= now) {
            continue;
        }
        response.lease = std::chrono::floor<std::chrono::milliseconds>(granted.expires - now);
        response.grants.push_back({granted.account, granted.parts, 0});
    }
    return response;
}

} // namespace oriole::contracts
