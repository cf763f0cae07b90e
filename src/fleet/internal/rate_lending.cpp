#include "fleet/rate_lending.h"

#include <algorithm>
#include <utility>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// A keeper renews its loans every second, so one lost exchange does not end them.
constexpr clock::duration loan_period = 2500ms;
/// What the instances that hold no part have together, for the time when they reach no other
/// instance: a part of the rate, divided evenly.
constexpr double reserved_part = 0.15;
/// A bucket that holds less than one operation admits none.
constexpr double least_burst = 1;

} // namespace

void rate_lending::set_roles(const role_assignment& roles, std::size_t instances,
                             clock::time_point now) {
    m_instances = std::max<std::size_t>(instances, 1);
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
        auto& group = m_groups[i];
        const auto& assigned = roles.rates.at(i);
        const bool held = group.own_part > 0;
        group.keeps = assigned.keeper == m_own.id;
        group.parts.clear();
        group.own_part = 0;
        for (const auto& holder : assigned.holders) {
            group.parts[holder.instance] = holder.part;
            if (holder.instance == m_own.id) {
                group.own_part = holder.part;
            }
        }
        const bool first_keeper = !m_started && group.keeps;
        if (!held && group.own_part > 0 && !first_keeper) {
            group.usable_from = now + loan_period;
        }
        std::erase_if(group.loans, [&group](const auto& known) {
            return !group.keeps || !group.parts.contains(known.first);
        });
    }
    m_started = true;
}

std::set<int> rate_lending::kept_groups() const {
    std::set<int> groups;
    for (int i = 0; i < rate_groups; ++i) {
        if (m_groups[static_cast<std::size_t>(i)].keeps) {
            groups.insert(i);
        }
    }
    return groups;
}

std::set<int> rate_lending::lend(const instance_id& keeper, const std::set<int>& groups,
                                 clock::time_point now) {
    std::set<int> lent;
    for (const int index : groups) {
        if (index < 0 || index >= rate_groups) {
            continue;
        }
        auto& group = m_groups[static_cast<std::size_t>(index)];
        const bool taken = group.lent && group.lent->keeper != keeper && group.lent->until > now;
        if (group.own_part > 0 && !group.keeps && !taken) {
            group.lent = loan{keeper, now + loan_period};
            lent.insert(index);
        }
    }
    return lent;
}

void rate_lending::released(const instance_id& keeper, const std::set<int>& kept) {
    for (int i = 0; i < rate_groups; ++i) {
        auto& group = m_groups[static_cast<std::size_t>(i)];
        if (group.lent && group.lent->keeper == keeper && !kept.contains(i)) {
            group.lent.reset();
        }
    }
}

void rate_lending::borrowed(const instance_id& holder, const std::set<int>& groups,
                            clock::time_point asked) {
    for (const int index : groups) {
        if (index < 0 || index >= rate_groups) {
            continue;
        }
        auto& group = m_groups[static_cast<std::size_t>(index)];
        if (group.keeps) { // The role may have gone while the question was on its way.
            auto& until = group.loans[holder];
            until = std::max(until, asked + loan_period);
        }
    }
}

account_share rate_lending::share_of(const account& limits, clock::time_point now) const {
    const auto& group = m_groups[static_cast<std::size_t>(rate_group_of(limits.name))];
    const auto others =
        static_cast<double>(m_instances - std::min(group.parts.size(), m_instances));
    const double all = static_cast<double>(m_instances);
    if (group.own_part <= 0 && !group.keeps) {
        return {limits.operations_per_s * reserved_part / all, least_burst};
    }
    const double part = part_of(group, now) * (1 - reserved_part * others / all);
    if (part <= 0) {
        return {0, 0};
    }
    return {limits.operations_per_s * part, std::max(limits.burst * part, least_burst)};
}

double rate_lending::part_of(const group_state& group, clock::time_point now) const {
    const bool lent = group.lent && group.lent->until > now;
    double part = lent || now < group.usable_from ? 0 : group.own_part;
    if (!group.keeps) {
        return part;
    }
    for (const auto& [holder, until] : group.loans) {
        const auto held = group.parts.find(holder);
        part += until > now && held != group.parts.end() ? held->second : 0;
    }
    return part;
}

} // namespace oriole::fleet
