#pragma once

#include "machines/replica_selector.h"

namespace oriole::machines {

/// Orders servers by suitability, then by the expected response time, estimated from latency, zone
/// and load.
class ranked_replica_selector final : public replica_selector {
public:
    explicit ranked_replica_selector(replica_selector_settings settings);

    [[nodiscard]] read_plan rank(const database_view& view, const read_query& query) const override;

private:
    struct scored_candidate;

    [[nodiscard]] read_candidate assess(const database_view& view, const read_query& query,
                                        const server_name& server) const;
    [[nodiscard]] read_candidate assess_position(const database_view& view, const read_query& query,
                                                 const server_report& report) const;
    [[nodiscard]] std::chrono::microseconds expected_latency(const read_query& query,
                                                             const server_name& server) const;
    [[nodiscard]] std::chrono::microseconds expected_primary_latency(const database_view& view,
                                                                     const read_query& query) const;

    replica_selector_settings m_settings;
};

} // namespace oriole::machines
