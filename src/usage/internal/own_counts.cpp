#include "usage/own_counts.h"

namespace oriole::usage {

void own_counts::add(const std::vector<counted_runs>& runs) {
    m_waiting.insert(m_waiting.end(), runs.begin(), runs.end());
    if (m_waiting.size() > max_waiting) {
        const auto excess = static_cast<std::ptrdiff_t>(m_waiting.size() - max_waiting);
        m_waiting.erase(m_waiting.begin(), m_waiting.begin() + excess);
    }
}

void own_counts::place(const window_clock& time, usage_ledger& ledger) {
    for (const auto& runs : m_waiting) {
        const auto began = time.at(runs.began);
        if (!began) {
            return;
        }
        ledger.add({window_at(*began, m_window), m_own, m_incarnation}, runs.account, runs.count);
    }
    m_waiting.clear();
}

} // namespace oriole::usage
