#include "freshness.h"

#include <algorithm>
#include <functional>

namespace oriole::standins {

void replica_freshness::add_fetch(std::uint64_t offset, clock::time_point as_of) {
    m_pending.push_back({offset, as_of});
}

void replica_freshness::on_applied(std::uint64_t offset) {
    while (!m_pending.empty() && m_pending.front().offset <= offset) {
        m_as_of = std::max(m_as_of.value_or(m_pending.front().as_of), m_pending.front().as_of);
        m_pending.pop_front();
    }
}

void member_contacts::reset(std::vector<links::member_address> members, const server_name& self) {
    m_contact_times.clear();
    m_majority_contact_time.reset();
    for (links::member_address& member : members) {
        if (member.server != self) {
            m_contact_times.emplace(std::move(member.server), std::nullopt);
        }
    }
}

void member_contacts::record_contact(const server_name& member, clock::time_point as_of) {
    const auto found = m_contact_times.find(member);
    if (found != m_contact_times.end()) {
        found->second = std::max(found->second.value_or(as_of), as_of);
        m_majority_contact_time = compute_majority_contact_time();
    }
}

std::optional<clock::time_point>
member_contacts::majority_contact_time(clock::time_point now) const {
    return m_contact_times.empty() ? std::optional(now) : m_majority_contact_time;
}

std::optional<clock::time_point> member_contacts::compute_majority_contact_time() const {
    const std::size_t needed = (m_contact_times.size() + 1) / 2;
    std::vector<std::optional<clock::time_point>> times;
    for (const auto& [member, time] : m_contact_times) {
        times.push_back(time);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1];
}

} // namespace oriole::standins
