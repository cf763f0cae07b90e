#include "fleet/rate_lending.h"

#include <algorithm>
#include <utility>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// How long a loan lasts. Coordinators renew their loans every second, so a single lost message
/// does not end one.
constexpr clock::duration loan_period = 2500ms;
/// Fraction of an account's rate reserved for instances that own no fraction of it, in case they
/// reach no other instance. Each of them gets the reserved fraction divided by the number of all
/// instances.
constexpr double reserved_fraction = 0.15;
/// A token bucket with a capacity of less than one operation would admit none.
constexpr double min_burst = 1;

} // namespace

void rate_lending::set_roles(const role_assignment& roles, std::size_t instances,
                             clock::time_point now) {
    m_instances = std::max<std::size_t>(instances, 1);
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        auto& group = m_groups[i];
        const auto& assigned = roles.rates.at(i);
        const bool was_owner = group.own_fraction > 0;
        group.is_coordinator = assigned.coordinator == m_own.id;
        group.fractions.clear();
        group.own_fraction = 0;
        for (const auto& owner : assigned.owners) {
            group.fractions[owner.instance] = owner.fraction;
            if (owner.instance == m_own.id) {
                group.own_fraction = owner.fraction;
            }
        }
        const bool starts_as_coordinator = !m_started && group.is_coordinator;
        if (!was_owner && group.own_fraction > 0 && !starts_as_coordinator) {
            group.usable_from = now + loan_period;
        }
        std::erase_if(group.loans, [&group](const auto& known) {
            return !group.is_coordinator || !group.fractions.contains(known.first);
        });
    }
    m_started = true;
}

std::set<int> rate_lending::coordinated_groups() const {
    std::set<int> groups;
    for (int i = 0; i < rate_groups; ++i) {
        if (m_groups[static_cast<std::size_t>(i)].is_coordinator) {
            groups.insert(i);
        }
    }
    return groups;
}

std::set<int> rate_lending::lend(const instance_id& coordinator, const std::set<int>& groups,
                                 clock::time_point now) {
    std::set<int> lent;
    for (const int index : groups) {
        if (index < 0 || index >= rate_groups) {
            continue;
        }
        auto& group = m_groups[static_cast<std::size_t>(index)];
        const bool lent_to_other =
            group.lent && group.lent->coordinator != coordinator && group.lent->until > now;
        if (group.own_fraction > 0 && !group.is_coordinator && !lent_to_other) {
            group.lent = loan{coordinator, now + loan_period};
            lent.insert(index);
        }
    }
    return lent;
}

void rate_lending::release_loans(const instance_id& coordinator, const std::set<int>& kept) {
    for (int i = 0; i < rate_groups; ++i) {
        auto& group = m_groups[static_cast<std::size_t>(i)];
        if (group.lent && group.lent->coordinator == coordinator && !kept.contains(i)) {
            group.lent.reset();
        }
    }
}

void rate_lending::record_loans(const instance_id& owner, const std::set<int>& groups,
                                clock::time_point asked) {
    for (const int index : groups) {
        if (index < 0 || index >= rate_groups) {
            continue;
        }
        auto& group = m_groups[static_cast<std::size_t>(index)];
        if (group.is_coordinator) { // The role may have moved while the request was in transit.
            auto& until = group.loans[owner];
            until = std::max(until, asked + loan_period);
        }
    }
}

account_share rate_lending::share_of(const account& limits, clock::time_point now) const {
    const auto& group = m_groups[static_cast<std::size_t>(rate_group_of(limits.name))];
    const auto non_owners =
        static_cast<double>(m_instances - std::min(group.fractions.size(), m_instances));
    const double instance_count = static_cast<double>(m_instances);
    if (group.own_fraction <= 0 && !group.is_coordinator) {
        return {limits.operations_per_s * reserved_fraction / instance_count, min_burst};
    }
    const double fraction =
        usable_fraction(group, now) * (1 - reserved_fraction * non_owners / instance_count);
    if (fraction <= 0) {
        return {0, 0};
    }
    return {limits.operations_per_s * fraction, std::max(limits.burst * fraction, min_burst)};
}

double rate_lending::usable_fraction(const group_state& group, clock::time_point now) const {
    const bool lent = group.lent && group.lent->until > now;
    double fraction = lent || now < group.usable_from ? 0 : group.own_fraction;
    if (!group.is_coordinator) {
        return fraction;
    }
    for (const auto& [owner, until] : group.loans) {
        const auto owned = group.fractions.find(owner);
        fraction += until > now && owned != group.fractions.end() ? owned->second : 0;
    }
    return fraction;
}

} // namespace oriole::fleet
