#include "sessions/position_proofs.h"

#include <algorithm>

namespace oriole::sessions {
namespace {

using namespace std::chrono_literals;

/// How long proofs are kept. Routes that accept older data use the oldest proof that is kept.
constexpr clock::duration retention_period = 6s;
/// Minimum time between proofs that are kept; of proofs that are closer together, the newest
/// remains.
constexpr clock::duration min_spacing = 30ms;
/// Allows for the limited resolution of the clocks that are used to compare ages.
constexpr clock::duration age_margin = 50ms;

} // namespace

void position_proofs::add(const position_proof& proof) {
    if (!m_proofs.empty() && proof.position.term() < m_proofs.back().position.term()) {
        return;
    }
    if (!m_term_start || m_term_start->term() < proof.position.term()) {
        // The promotion may have truncated log entries of earlier terms, so their proofs are
        // dropped.
        m_term_start = proof.position;
        m_proofs.clear();
    }
    if (!m_proofs.empty() && proof.asked <= m_proofs.back().asked) {
        return;
    }
    if (m_proofs.size() >= 2 && proof.asked - m_proofs[m_proofs.size() - 2].asked < min_spacing) {
        m_proofs.pop_back();
    }
    m_proofs.push_back(proof);
    while (m_proofs.size() > 1 && proof.asked - m_proofs.front().asked > retention_period) {
        m_proofs.pop_front();
    }
}

std::optional<machines::log_position>
position_proofs::required(clock::time_point now, clock::duration max_age,
                          std::optional<machines::log_position> own_commit) const {
    const auto oldest_allowed = now - max_age + age_margin;
    const auto found =
        std::find_if(m_proofs.begin(), m_proofs.end(),
                     [&](const position_proof& proof) { return proof.asked >= oldest_allowed; });
    if (found == m_proofs.end()) {
        return std::nullopt;
    }
    auto needed = found->position;
    if (!own_commit) {
        return needed;
    }
    if (own_commit->term() < m_term_start->term()) {
        // If the session's commit survived the promotion, it lies before the new term's first
        // proved position.
        return std::max(needed, *m_term_start);
    }
    return std::max(needed, *own_commit);
}

std::optional<position_proof> position_proofs::newest() const {
    if (m_proofs.empty()) {
        return std::nullopt;
    }
    return m_proofs.back();
}

std::optional<clock::time_point>
position_proofs::proved_since(const machines::log_position& position) const {
    for (const auto& proof : m_proofs) {
        if (proof.position >= position) {
            return proof.asked;
        }
    }
    return std::nullopt;
}

} // namespace oriole::sessions
