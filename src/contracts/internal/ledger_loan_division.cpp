#include "contracts/internal/ledger_parts.h"
#include "contracts/internal/ledger_share_planner.h"
#include "contracts/internal/loan_allocation.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace oriole::contracts {
namespace {

/// A holder may keep up to 1/8 of its loan above its target, so that small variations move nothing,
/// as long as the shortage of the others is at most 1/200 of the zone's loans.
constexpr share_parts tolerated_excess_divisor = 8;
constexpr share_parts tolerated_shortage_divisor = 200;

/// Up to this many renewals, a joining instance is assigned the mean demand of the others, because
/// it has not measured its own demand yet.
constexpr std::uint64_t newcomer_renewals = 3;

/// Parts that a zone with `total` parts and a demand of `wanted` transfers to another zone: the
/// whole shortage of the other zone if the combined demand fits, else an amount that brings both
/// closer to the same fraction of their demand.
[[nodiscard]] share_parts fair_transfer(share_parts total, share_parts wanted,
                                        const account_request& other) {
    const share_parts combined_demand = wanted + other.wanted;
    const share_parts combined_parts = total + other.retained;
    if (combined_demand <= combined_parts) {
        return std::max<share_parts>(0, std::min(total - wanted, other.wanted - other.retained));
    }
    // Transfers only half of the difference, because a third zone may transfer parts as well and
    // parts in transit cannot be spent.
    return std::max<share_parts>(0, (total - combined_parts * wanted / combined_demand) / 2);
}

/// Raises the demand of holders that joined recently to the mean demand of the others.
void raise_newcomer_demand(std::vector<share_parts>& demands,
                           const std::vector<instance_id>& holders, const share_ledger& ledger) {
    std::vector<std::size_t> newcomers;
    share_parts others_sum = 0;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (ledger.holders().at(holders[i]).sequence() <= newcomer_renewals) {
            newcomers.push_back(i);
        } else {
            others_sum += demands[i];
        }
    }
    const std::size_t others = holders.size() - newcomers.size();
    if (others == 0) {
        return;
    }
    const share_parts mean = others_sum / static_cast<share_parts>(others);
    for (const std::size_t i : newcomers) {
        demands[i] = std::max(demands[i], mean);
    }
}

} // namespace

void ledger_share_planner::divide_loans(share_ledger::builder& next, clock::time_point now) {
    std::vector<instance_id> holders;
    loans_by_holder loans;
    for (const auto& [id, holder] : next.view().holders()) {
        loans[id] = holder.loans();
        if (!is_renewal_overdue(id, now) && !m_departed.contains(id)) {
            holders.push_back(id);
        }
    }
    m_loan_targets.clear();
    m_zones_awaiting_transfer.clear();
    for (const auto& [zone, waiting] : next.view().sent()) {
        m_zones_awaiting_transfer.insert(zone);
    }
    for (const auto& account : accounts(next.view())) {
        divide_account_loans(next, account, holders, loans);
    }
    for (auto& [id, parts] : loans) {
        const share_holder holder = next.view().holders().at(id);
        std::erase_if(parts, [](const auto& entry) { return entry.second <= 0; });
        next.holder(id, share_holder(holder.sequence(), holder.slot(), parts));
    }
}

void ledger_share_planner::divide_account_loans(share_ledger::builder& next,
                                                const account_name& account,
                                                const std::vector<instance_id>& holders,
                                                loans_by_holder& loans) {
    const share_ledger& ledger = next.view();
    const share_parts zone_total = ledger.loan_total(account);
    const share_parts loanable_slots = ledger.free_slots() - assignable_slots(ledger);
    const share_parts total = zone_total + loanable_slots * ledger.floor_parts();
    share_parts free = total;
    for (const auto& [id, parts] : loans) {
        free -= get(parts, account);
    }
    free = std::max<share_parts>(0, free);
    std::vector<share_parts> demands;
    demands.reserve(holders.size());
    for (const auto& id : holders) {
        demands.push_back(wanted(id, account, get(loans[id], account)));
    }
    raise_newcomer_demand(demands, holders, ledger);
    const share_parts zone_demand = std::accumulate(demands.begin(), demands.end(), share_parts{0});
    const auto due = parts_due_to_zones(account, total, zone_demand);
    share_parts due_total = 0;
    for (const auto& [zone, parts] : due) {
        due_total += parts;
    }
    // Excludes the floors of free slots, which joining instances will need.
    due_total = std::clamp<share_parts>(due_total, 0, zone_total);
    const auto targets = allocate_loans(total - due_total, demands);
    share_parts shortage = 0;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        share_parts& held = loans[holders[i]][account];
        const share_parts raise = std::clamp<share_parts>(targets[i] - held, 0, free);
        held += raise;
        free -= raise;
        shortage += std::max<share_parts>(0, targets[i] - held);
    }
    const bool is_scarce = shortage > total / tolerated_shortage_divisor;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const share_parts held = loans[holders[i]][account];
        const bool is_tolerated =
            !is_scarce && held - targets[i] <= held / tolerated_excess_divisor;
        m_loan_targets[holders[i]][account] = is_tolerated ? held : targets[i];
    }
    add_outgoing_transfers(next, account, std::min(free, due_total), due);
}

void ledger_share_planner::add_outgoing_transfers(
    share_ledger::builder& next, const account_name& account, share_parts available,
    const std::map<zone_name, share_parts>& due) const {
    share_parts left = available;
    for (const auto& [zone, due_parts] : due) {
        const share_parts parts = std::min(left, due_parts);
        if (parts <= 0) {
            continue;
        }
        const auto& last_sent = next.view().last_sent();
        const auto last = last_sent.contains(zone) ? last_sent.at(zone) : 0;
        const auto& sent = next.view().sent();
        auto waiting = sent.contains(zone) ? sent.at(zone) : std::vector<loan_transfer>{};
        waiting.emplace_back(last + 1, account, parts);
        next.sent(zone, std::move(waiting), last + 1);
        next.loan_change(account,
                         next.view().loan_total(account) - parts - next.view().initial_loan());
        left -= parts;
    }
}

share_parts ledger_share_planner::wanted(const instance_id& holder, const account_name& account,
                                         share_parts held) const {
    const auto found = m_demand.find(holder);
    // A planner that has just taken over does not know the demand yet and keeps the loans as they
    // are.
    return found == m_demand.end() ? held : get(found->second, account);
}

std::map<zone_name, share_parts>
ledger_share_planner::parts_due_to_zones(const account_name& account, share_parts total,
                                         share_parts wanted) const {
    std::map<zone_name, share_parts> result;
    for (const auto& [zone, request] : m_zone_requests) {
        if (m_zones_awaiting_transfer.contains(zone)) {
            continue;
        }
        for (const auto& item : request.account_requests) {
            if (item.account == account) {
                result[zone] += fair_transfer(total, wanted, item);
            }
        }
    }
    // Transfers that are too small are not sent, so their parts remain available to this zone's own
    // instances.
    const share_parts min_parts = std::max(min_transfer_parts, total / min_transfer_divisor);
    std::erase_if(result, [&](const auto& entry) { return entry.second < min_parts; });
    return result;
}

std::set<account_name> ledger_share_planner::accounts(const share_ledger& ledger) const {
    std::set<account_name> result;
    for (const auto& [id, holder] : ledger.holders()) {
        for (const auto& [account, parts] : holder.loans()) {
            result.insert(account);
        }
    }
    for (const auto& [id, wanted] : m_demand) {
        for (const auto& [account, parts] : wanted) {
            result.insert(account);
        }
    }
    for (const auto& [zone, request] : m_zone_requests) {
        for (const auto& item : request.account_requests) {
            result.insert(item.account);
        }
    }
    return result;
}

} // namespace oriole::contracts
