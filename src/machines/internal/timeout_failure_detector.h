#pragma once

#include "machines/failure_detector.h"

#include <cstddef>
#include <map>

namespace oriole::machines {

/// Suspects a server that has not answered for a fixed time, over several rounds of probes.
class timeout_failure_detector final : public failure_detector {
public:
    timeout_failure_detector(database_name database, instance_id self,
                             failure_detector_settings settings);

    void round_started(clock::time_point now) override;
    void answered(const server_name& server, clock::time_point now) override;
    void evidence_received(const failure_evidence& evidence, clock::time_point now) override;

    [[nodiscard]] std::optional<failure_evidence>
    own_evidence(const server_name& primary, std::uint64_t term,
                 clock::time_point now) const override;

    [[nodiscard]] bool failed(const server_name& primary, std::uint64_t term,
                              const std::set<instance_id>& live_watchers,
                              clock::time_point now) const override;

private:
    struct received_evidence {
        failure_evidence evidence;
        clock::time_point at;
    };

    [[nodiscard]] bool is_valid(const received_evidence& received, const server_name& primary,
                                std::uint64_t term, clock::time_point now) const;

    database_name m_database;
    instance_id m_self;
    failure_detector_settings m_settings;
    std::optional<clock::time_point> m_last_round;
    /// Start of the last late round of probes; of the first round if none was late.
    std::optional<clock::time_point> m_observing_since;
    std::map<server_name, clock::time_point> m_last_answers;
    std::map<instance_id, received_evidence> m_received; ///< latest evidence of each instance
};

} // namespace oriole::machines
