#include "apply_schedule.h"

#include <algorithm>

namespace oriole::standins {

void apply_schedule::add_batch(std::uint64_t offset, clock::time_point now) {
    const auto lag_count = static_cast<std::uint64_t>((m_lag.max - m_lag.min).count()) + 1;
    const auto extra = static_cast<std::int64_t>(m_random->next() % lag_count);
    auto due = now + m_lag.min + std::chrono::milliseconds(extra);
    if (!m_batches.empty()) {
        due = std::max(due, m_batches.back().due);
    }
    m_batches.push_back({offset, due});
}

std::optional<std::uint64_t> apply_schedule::take_due(clock::time_point now) {
    std::optional<std::uint64_t> offset;
    while (!m_batches.empty() && m_batches.front().due <= now) {
        offset = m_batches.front().offset;
        m_batches.pop_front();
    }
    return offset;
}

std::optional<clock::time_point> apply_schedule::next_due() const {
    if (m_batches.empty()) {
        return std::nullopt;
    }
    return m_batches.front().due;
}

void apply_schedule::truncate(std::uint64_t offset) {
    for (batch& pending : m_batches) {
        pending.offset = std::min(pending.offset, offset);
    }
}

} // namespace oriole::standins
