#pragma once

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "base/types/name.h"

#include <string>

namespace oriole::entry {

/// Logs and counts what other instances sent in place of the answer to a call, so that operators
/// can tell it from a lost connection. Not thread-safe.
class unexpected_replies {
public:
    /// Precondition: the log and the metrics outlive this object.
    unexpected_replies(decision_log& log, metric_registry& metrics)
        : m_log(log), m_count(metrics.get("oriole_unexpected_replies_total{from=\"instances\"}")) {}

    /// Reports that a call to the instance ended for this reason.
    void report(const instance_id& instance, const std::string& reason) {
        m_count.add();
        m_log.write(log_entry("unexpected_reply")
                        .add("from", "instances")
                        .add("instance", instance.str())
                        .add("outcome", "connection_ended")
                        .add("reason", reason));
    }

private:
    decision_log& m_log;
    metric& m_count;
};

} // namespace oriole::entry
