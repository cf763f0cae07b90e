#pragma once

#include "base/clock.h"
#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "base/types/name.h"
#include "machines/resource_account.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace oriole::entry {

/// Publishes what the clients of the process hold and how many were refused, and returns memory to
/// the system after a burst. Not thread-safe; runs on the traffic thread.
class client_refusals {
public:
    client_refusals(std::shared_ptr<machines::resource_account> resources, decision_log& log,
                    metric_registry& metrics);

    /// Updates the metrics, and once a second writes one log line for each port and reason that had
    /// refusals, with their number. To be called regularly.
    void publish(clock::time_point now);

    /// Writes a log line for a session that was closed; only the first few of each second.
    void log_closed(const std::string& database, const account_name& account,
                    machines::refusal_reason reason);

private:
    using refusal_kind = std::pair<machines::client_port, machines::refusal_reason>;

    void publish_counts(clock::time_point now);
    void return_memory(clock::time_point now);

    std::shared_ptr<machines::resource_account> m_resources;
    decision_log& m_log;
    metric_registry& m_metrics;
    metric& m_held;
    metric& m_running;
    std::map<refusal_kind, std::uint64_t> m_logged;
    clock::time_point m_logged_at{};
    int m_closed_lines = 0;                                 ///< since m_logged_at
    std::size_t m_peak_bytes = 0;                           ///< since memory was last returned
    clock::time_point m_fell_at = clock::time_point::max(); ///< when the burst was over
};

} // namespace oriole::entry
