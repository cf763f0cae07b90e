#include "machines/internal/update_gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace oriole::machines {
namespace {

/// Number of sends per binary digit of the number of members. With three, an update is unlikely to
/// miss a member even when messages are lost; the platform's list corrects the remaining cases.
constexpr std::size_t sends_per_digit = 3;

} // namespace

std::vector<instance_id> update_gossip_queue::take(std::size_t count, std::size_t members) {
    std::vector<std::pair<std::size_t, instance_id>> order;
    order.reserve(m_send_counts.size());
    for (const auto& [member, send_count] : m_send_counts) {
        order.emplace_back(send_count, member);
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(count, order.size()));
    const std::size_t limit = sends_per_digit * std::bit_width(members + 1);
    std::vector<instance_id> taken;
    for (auto& [send_count, member] : order) {
        if (++m_send_counts[member] >= limit) {
            m_send_counts.erase(member);
        }
        taken.push_back(std::move(member));
    }
    return taken;
}

} // namespace oriole::machines
