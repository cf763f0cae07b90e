#include "contracts/internal/weighted_share_divider.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriole::contracts {
namespace {

constexpr std::int64_t fraction_scale = 1000;

/// Portion of a share that is always divided evenly, so that a thread without demand can admit the
/// first requests of a new connection.
constexpr double evenly_divided_part = 0.25;

/// Factor applied to earlier demand after each interval.
constexpr double demand_decay = 0.5;

/// The fractions change only if one of them changes by more than this many thousandths, so that
/// random variation moves nothing.
constexpr std::int64_t min_fraction_change = 50;

} // namespace

weighted_share_divider::weighted_share_divider(std::size_t threads) : m_threads(threads) {}

void weighted_share_divider::add_demand(std::size_t thread, const account_name& account,
                                        double weight) {
    find_or_add(account).demand.at(thread) += weight;
}

void weighted_share_divider::advance() {
    for (auto& [account, value] : m_divisions) {
        const fractions wanted = fractions_by_demand(value.demand);
        std::int64_t largest_change = 0;
        for (std::size_t i = 0; i < m_threads; ++i) {
            largest_change = std::max(largest_change, std::abs(wanted[i] - value.present[i]));
            value.demand[i] *= demand_decay;
        }
        if (largest_change > min_fraction_change) {
            value.next = wanted;
        }
    }
}

thread_shares
weighted_share_divider::reduced_shares(const std::map<account_name, share>& held) const {
    return divide(held, [](const division& value, std::size_t thread) {
        return std::min(value.present[thread], value.next[thread]);
    });
}

bool weighted_share_divider::has_pending_increase() const {
    return std::any_of(m_divisions.begin(), m_divisions.end(),
                       [](const auto& entry) { return entry.second.present != entry.second.next; });
}

thread_shares weighted_share_divider::next_shares(const std::map<account_name, share>& held) {
    for (auto& [account, value] : m_divisions) {
        value.present = value.next;
    }
    return divide(held,
                  [](const division& value, std::size_t thread) { return value.present[thread]; });
}

weighted_share_divider::fractions weighted_share_divider::even_fractions() const {
    return fractions(m_threads, fraction_scale / static_cast<std::int64_t>(m_threads));
}

weighted_share_divider::fractions
weighted_share_divider::fractions_by_demand(const std::vector<double>& demand) const {
    const double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
    if (sum <= 0) {
        return even_fractions();
    }
    fractions result;
    result.reserve(demand.size());
    for (const double weight : demand) {
        const double part = evenly_divided_part / static_cast<double>(m_threads) +
                            (1 - evenly_divided_part) * weight / sum;
        result.push_back(static_cast<std::int64_t>(std::floor(part * fraction_scale)));
    }
    return result;
}

weighted_share_divider::division& weighted_share_divider::find_or_add(const account_name& account) {
    const auto found = m_divisions.find(account);
    if (found != m_divisions.end()) {
        return found->second;
    }
    division added{std::vector<double>(m_threads, 0), even_fractions(), even_fractions()};
    return m_divisions.emplace(account, std::move(added)).first->second;
}

template <class SelectFraction>
thread_shares weighted_share_divider::divide(const std::map<account_name, share>& held,
                                             SelectFraction select_fraction) const {
    const division even_division{{}, even_fractions(), even_fractions()};
    thread_shares result(m_threads);
    for (const auto& [account, undivided] : held) {
        const auto found = m_divisions.find(account);
        const division& value = found == m_divisions.end() ? even_division : found->second;
        for (std::size_t i = 0; i < m_threads; ++i) {
            result[i].emplace(account, undivided.scaled(select_fraction(value, i), fraction_scale));
        }
    }
    return result;
}

} // namespace oriole::contracts
