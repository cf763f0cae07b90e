#include "contracts/internal/ledger_share_planner.h"

#include "contracts/internal/ledger_parts.h"

#include <algorithm>
#include <utility>

namespace oriole::contracts {
namespace {

/// A holder whose renewal is overdue gets no further loans, because it may have crashed.
constexpr clock::duration renewal_overdue_after = std::chrono::seconds(7);

/// If at least this many loan parts move, the ledger is written before the next regular round.
constexpr share_parts urgent_parts = 5'000;

constexpr std::size_t max_departed_instances = 4096;

[[nodiscard]] std::optional<std::uint32_t> find_free_slot(const share_ledger& ledger) {
    std::set<std::uint32_t> used;
    for (const auto& [id, holder] : ledger.holders()) {
        if (holder.slot()) {
            used.insert(*holder.slot());
        }
    }
    for (std::uint32_t slot = 0; slot < ledger.slots(); ++slot) {
        if (!used.contains(slot)) {
            return slot;
        }
    }
    return std::nullopt;
}

/// Whether the loans still fit when one more slot is assigned. The floors of free slots are used
/// for loans.
[[nodiscard]] bool can_take_slot(const share_ledger& ledger) {
    const auto free = static_cast<share_parts>(ledger.free_slots());
    if (free == 0) {
        return false;
    }
    std::set<account_name> loaned;
    for (const auto& [id, holder] : ledger.holders()) {
        for (const auto& [account, parts] : holder.loans()) {
            loaned.insert(account);
        }
    }
    return std::all_of(loaned.begin(), loaned.end(), [&](const account_name& account) {
        return ledger.held_loans(account) <=
               ledger.loan_total(account) + (free - 1) * ledger.floor_parts();
    });
}

/// Loans of `holder`, each limited to the parts that it retained according to `request`.
[[nodiscard]] account_parts retained_loans(const share_holder& holder,
                                           const share_request& request) {
    account_parts retained_parts;
    for (const auto& item : request.account_requests) {
        const share_parts parts = std::min(get(holder.loans(), item.account), item.retained);
        if (parts > 0) {
            retained_parts.insert_or_assign(item.account, parts);
        }
    }
    return retained_parts;
}

} // namespace

ledger_share_planner::ledger_share_planner(instance_id self, zone_name zone,
                                           const share_lease& lease)
    : m_self(std::move(self)), m_zone(std::move(zone)), m_lease(lease) {}

void ledger_share_planner::record_request(const share_request& request) {
    if (request.purpose == share_purpose::zone) {
        auto& latest = m_zone_requests[request.zone];
        if (request.requester != latest.requester || request.sequence > latest.sequence) {
            latest = request;
        }
        return;
    }
    const auto found = m_requests.find(request.requester);
    if (m_departed.contains(request.requester) ||
        (found != m_requests.end() && found->second.sequence >= request.sequence)) {
        return;
    }
    if (request.purpose == share_purpose::leave) {
        // Forgetting old departures is harmless: a repeated renewal of a departed instance would
        // only block a slot for the duration of a lease.
        if (m_departed.size() >= max_departed_instances) {
            m_departed.clear();
        }
        m_departed.insert(request.requester);
    }
    m_requests.insert_or_assign(request.requester, request);
    auto& wanted = m_demand[request.requester];
    wanted.clear();
    for (const auto& item : request.account_requests) {
        wanted.insert_or_assign(item.account, item.wanted);
    }
}

void ledger_share_planner::record_transfers(const share_response& response) {
    m_incoming_transfers[response.zone] = response.transfers;
}

void ledger_share_planner::observe(const share_ledger& stored, clock::time_point now) {
    std::erase_if(m_observed_renewals,
                  [&](const auto& entry) { return !stored.holders().contains(entry.first); });
    std::erase_if(m_demand, [&](const auto& entry) {
        return !stored.holders().contains(entry.first) && !m_requests.contains(entry.first);
    });
    std::erase_if(m_sent_targets,
                  [&](const auto& entry) { return !stored.holders().contains(entry.first); });
    for (const auto& [id, holder] : stored.holders()) {
        const auto [observed, is_new] =
            m_observed_renewals.try_emplace(id, observed_renewal{holder.sequence(), now});
        if (!is_new && observed->second.sequence != holder.sequence()) {
            observed->second = {holder.sequence(), now};
        }
    }
}

share_ledger ledger_share_planner::plan(const share_ledger& stored, clock::time_point now) {
    share_ledger::builder next(stored);
    apply_requests(next);
    reclaim_expired(next, now);
    apply_incoming_transfers(next);
    remove_confirmed_transfers(next);
    assign_slots(next);
    divide_loans(next, now);
    return next.build();
}

void ledger_share_planner::apply_requests(share_ledger::builder& next) const {
    // Departures are applied first, so that a joining instance can take the slot in the same round.
    for (const auto& [id, request] : m_requests) {
        if (request.purpose == share_purpose::leave) {
            apply_departure(next, request);
        }
    }
    for (const auto& [id, request] : m_requests) {
        if (request.purpose == share_purpose::renew) {
            apply_renewal(next, request);
        }
    }
}

void ledger_share_planner::apply_departure(share_ledger::builder& next,
                                           const share_request& request) const {
    const auto found = next.view().holders().find(request.requester);
    if (found == next.view().holders().end() || request.sequence <= found->second.sequence()) {
        return;
    }
    account_parts retained_parts = retained_loans(found->second, request);
    if (retained_parts.empty()) {
        next.remove_holder(request.requester);
        return;
    }
    // Parts that the departed instance had subleased to peers are reclaimed like the loans of a
    // crashed holder.
    next.holder(request.requester,
                share_holder(request.sequence, std::nullopt, std::move(retained_parts)));
}

void ledger_share_planner::apply_renewal(share_ledger::builder& next,
                                         const share_request& request) const {
    const auto& holders = next.view().holders();
    const auto found = holders.find(request.requester);
    if (found == holders.end()) {
        next.holder(request.requester, share_holder(request.sequence, std::nullopt, {}));
        return;
    }
    const share_holder held = found->second;
    if (request.sequence <= held.sequence()) {
        return;
    }
    next.holder(request.requester,
                share_holder(request.sequence, held.slot(), retained_loans(held, request)));
}

void ledger_share_planner::reclaim_expired(share_ledger::builder& next,
                                           clock::time_point now) const {
    const auto holders = next.view().holders();
    for (const auto& [id, holder] : holders) {
        const auto observed = m_observed_renewals.find(id);
        if (observed == m_observed_renewals.end() ||
            observed->second.sequence != holder.sequence()) {
            continue;
        }
        const clock::duration unchanged = now - observed->second.first_seen;
        const bool loans_ended = unchanged >= m_lease.loan() + m_lease.loan_margin();
        const bool floor_ended = unchanged >= m_lease.floor() + m_lease.floor_margin();
        if (floor_ended || (loans_ended && !holder.slot())) {
            next.remove_holder(id);
        } else if (loans_ended) {
            next.holder(id, share_holder(holder.sequence(), holder.slot(), {}));
        }
    }
}

void ledger_share_planner::apply_incoming_transfers(share_ledger::builder& next) const {
    for (const auto& [zone, waiting] : m_incoming_transfers) {
        const auto& received = next.view().received();
        const auto found = received.find(zone);
        std::uint64_t last = found == received.end() ? 0 : found->second;
        for (const auto& transfer : waiting) {
            // A gap means that an earlier transfer has not arrived yet; transfers are added in
            // order only.
            if (transfer.sequence() != last + 1) {
                continue;
            }
            ++last;
            const auto& account = transfer.account();
            next.loan_change(account, next.view().loan_total(account) + transfer.parts() -
                                          next.view().initial_loan());
        }
        next.received(zone, last);
    }
}

void ledger_share_planner::remove_confirmed_transfers(share_ledger::builder& next) const {
    const auto sent = next.view().sent();
    for (const auto& [zone, transfers] : sent) {
        const auto request = m_zone_requests.find(zone);
        if (request == m_zone_requests.end()) {
            continue;
        }
        std::vector<loan_transfer> waiting = transfers;
        std::erase_if(waiting, [&](const loan_transfer& transfer) {
            return transfer.sequence() <= request->second.received;
        });
        next.sent(zone, std::move(waiting), next.view().last_sent().at(zone));
    }
}

void ledger_share_planner::assign_slots(share_ledger::builder& next) const {
    const auto holders = next.view().holders();
    for (const auto& [id, holder] : holders) {
        const auto request = m_requests.find(id);
        const bool is_renewing =
            request != m_requests.end() && request->second.purpose == share_purpose::renew;
        if (is_renewing && !holder.slot() && can_take_slot(next.view())) {
            next.holder(
                id, share_holder(holder.sequence(), find_free_slot(next.view()), holder.loans()));
        }
    }
}

bool ledger_share_planner::is_renewal_overdue(const instance_id& holder,
                                              clock::time_point now) const {
    const auto observed = m_observed_renewals.find(holder);
    return !m_requests.contains(holder) && observed != m_observed_renewals.end() &&
           now - observed->second.first_seen > renewal_overdue_after;
}

bool ledger_share_planner::is_urgent(const share_ledger& stored,
                                     const share_ledger& planned) const {
    share_parts raised = 0;
    for (const auto& [id, holder] : planned.holders()) {
        const auto previous = stored.holders().find(id);
        if (previous == stored.holders().end() ||
            holder.sequence() > previous->second.sequence() + 1) {
            return true;
        }
        for (const auto& [account, parts] : holder.loans()) {
            raised += std::max<share_parts>(0, parts - get(previous->second.loans(), account));
        }
    }
    return raised >= urgent_parts || planned.holders().size() != stored.holders().size() ||
           planned.last_sent() != stored.last_sent() || planned.received() != stored.received();
}

std::vector<std::pair<instance_id, share_response>>
ledger_share_planner::responses(const share_ledger& previous, const share_ledger& stored) {
    std::vector<std::pair<instance_id, share_response>> result;
    for (const auto& [id, holder] : stored.holders()) {
        const auto request = m_requests.find(id);
        const bool is_recorded =
            request != m_requests.end() && request->second.sequence <= holder.sequence();
        const auto old = previous.holders().find(id);
        const bool is_changed = old == previous.holders().end() || old->second != holder;
        bool must_reduce = false;
        for (const auto& [account, target] : m_loan_targets[id]) {
            must_reduce |=
                target < get(holder.loans(), account) && target != get(m_sent_targets[id], account);
        }
        if (is_recorded) {
            m_requests.erase(request);
        }
        if (is_recorded || is_changed || must_reduce) {
            m_sent_targets[id] = m_loan_targets[id];
            result.emplace_back(id, make_response(id, holder, stored));
        }
    }
    std::erase_if(m_requests, [&](const auto& entry) {
        const auto holder = stored.holders().find(entry.first);
        return entry.second.purpose == share_purpose::leave &&
               (holder == stored.holders().end() ||
                holder->second.sequence() >= entry.second.sequence);
    });
    return result;
}

share_response ledger_share_planner::make_response(const instance_id& id,
                                                   const share_holder& holder,
                                                   const share_ledger& stored) const {
    share_response response{m_self, m_zone, share_purpose::renew, holder.sequence(), 0, {}, {},
                            {},     {}};
    response.floor = holder.slot() ? stored.floor_parts() : 0;
    const auto targets = m_loan_targets.find(id);
    for (const auto& [account, parts] : holder.loans()) {
        const bool has_target =
            targets != m_loan_targets.end() && targets->second.contains(account);
        const share_parts target = has_target ? targets->second.at(account) : parts;
        response.grants.push_back({account, parts, target});
    }
    return response;
}

std::vector<std::pair<zone_name, share_response>>
ledger_share_planner::pending_transfers(const share_ledger& stored) const {
    std::vector<std::pair<zone_name, share_response>> result;
    for (const auto& [zone, waiting] : stored.sent()) {
        share_response response{m_self, m_zone, share_purpose::zone, 0, 0, {}, {}, {}, waiting};
        result.emplace_back(zone, std::move(response));
    }
    return result;
}

std::vector<account_request> ledger_share_planner::shortages(const share_ledger& stored) const {
    account_parts wanted;
    for (const auto& [id, parts] : m_demand) {
        for (const auto& [account, demand] : parts) {
            wanted[account] += demand;
        }
    }
    const share_parts loanable_slots = stored.free_slots() - assignable_slots(stored);
    std::vector<account_request> result;
    for (const auto& [account, demand] : wanted) {
        const share_parts zone_parts =
            stored.loan_total(account) + loanable_slots * stored.floor_parts();
        if (demand - zone_parts >= min_transfer_parts) {
            result.push_back({account, zone_parts, demand});
        }
    }
    return result;
}

} // namespace oriole::contracts
