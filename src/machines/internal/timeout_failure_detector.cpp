#include "machines/internal/timeout_failure_detector.h"

#include <algorithm>
#include <utility>

namespace oriole::machines {
namespace {

/// Number of instances that must have evidence before a change of primary, so that the broken
/// network link of one instance does not cause it.
constexpr std::size_t required_observers = 2;

} // namespace

timeout_failure_detector::timeout_failure_detector(database_name database, instance_id self,
                                                   failure_detector_settings settings)
    : m_database(std::move(database)), m_self(std::move(self)), m_settings(settings) {}

void timeout_failure_detector::round_started(clock::time_point now) {
    if (!m_last_round || now - *m_last_round > m_settings.late_round_threshold) {
        m_observing_since = now;
    }
    m_last_round = now;
}

void timeout_failure_detector::answered(const server_name& server, clock::time_point now) {
    m_last_answers[server] = now;
}

void timeout_failure_detector::evidence_received(const failure_evidence& evidence,
                                                 clock::time_point now) {
    if (evidence.database != m_database || evidence.observer == m_self) {
        return;
    }
    m_received.insert_or_assign(evidence.observer, received_evidence{evidence, now});
}

std::optional<failure_evidence>
timeout_failure_detector::own_evidence(const server_name& primary, std::uint64_t term,
                                       clock::time_point now) const {
    // No evidence when no round of probes has started recently, as for a late round: answers may
    // have arrived but not been read yet.
    if (!m_last_round || now - *m_last_round > m_settings.late_round_threshold) {
        return std::nullopt;
    }
    auto silent_since = *m_observing_since;
    const auto answer = m_last_answers.find(primary);
    if (answer != m_last_answers.end()) {
        silent_since = std::max(silent_since, answer->second);
    }
    const auto silent_for =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - silent_since);
    if (silent_for < m_settings.suspect_after) {
        return std::nullopt;
    }
    return failure_evidence{m_database, primary, term, m_self, silent_for};
}

bool timeout_failure_detector::failed(const server_name& primary, std::uint64_t term,
                                      const std::set<instance_id>& live_watchers,
                                      clock::time_point now) const {
    if (!own_evidence(primary, term, now)) {
        return false;
    }
    std::size_t observers = 1;
    for (const auto& [observer, received] : m_received) {
        observers += is_valid(received, primary, term, now) ? 1 : 0;
    }
    return observers >= std::min(required_observers, live_watchers.size());
}

bool timeout_failure_detector::is_valid(const received_evidence& received,
                                        const server_name& primary, std::uint64_t term,
                                        clock::time_point now) const {
    return received.evidence.primary == primary && received.evidence.term == term &&
           now - received.at <= m_settings.evidence_lifetime;
}

std::unique_ptr<failure_detector> make_failure_detector(database_name database, instance_id self,
                                                        failure_detector_settings settings) {
    return std::make_unique<timeout_failure_detector>(std::move(database), std::move(self),
                                                      settings);
}

} // namespace oriole::machines
