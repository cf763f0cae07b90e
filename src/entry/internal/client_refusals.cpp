#include "entry/internal/client_refusals.h"

#include "base/process_setup.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

constexpr clock::duration log_interval = 1s;
constexpr int max_closed_lines = 10;
/// Bytes held by clients that make a burst. Less is soon in use again.
constexpr std::size_t min_burst_bytes = std::size_t{8} << 20U;
constexpr std::size_t burst_end_divisor = 4;
/// Time for the connections of a burst to end.
constexpr clock::duration return_delay = 1s;

} // namespace

client_refusals::client_refusals(std::shared_ptr<machines::resource_account> resources,
                                 decision_log& log, metric_registry& metrics)
    : m_resources(std::move(resources)),
      m_log(log),
      m_metrics(metrics),
      m_held(metrics.get("oriole_client_held_bytes")),
      m_running(metrics.get("oriole_client_running_bytes")) {}

void client_refusals::publish(clock::time_point now) {
    publish_counts(now);
    return_memory(now);
}

void client_refusals::log_closed(const std::string& database, const account_name& account,
                                 machines::refusal_reason reason) {
    if (m_closed_lines >= max_closed_lines) {
        return;
    }
    ++m_closed_lines;
    m_log.write(log_entry("caller_closed")
                    .add("database", database)
                    .add("account", account.str())
                    .add("reason", to_string(reason)));
}

void client_refusals::publish_counts(clock::time_point now) {
    if (now - m_logged_at < log_interval) {
        return;
    }
    m_logged_at = now;
    m_closed_lines = 0;
    for (const auto& refusal : m_resources->refusals()) {
        auto& logged = m_logged[{refusal.port, refusal.reason}];
        if (refusal.count == logged) {
            continue;
        }
        const auto port = to_string(refusal.port);
        const auto reason = to_string(refusal.reason);
        std::string name("oriole_clients_refused_total{port=\"");
        name.append(port).append("\",reason=\"").append(reason).append("\"}");
        m_metrics.get(name).set(static_cast<std::int64_t>(refusal.count));
        m_log.write(log_entry("clients_refused")
                        .add("port", port)
                        .add("reason", reason)
                        .add("count", refusal.count - logged));
        logged = refusal.count;
    }
}

void client_refusals::return_memory(clock::time_point now) {
    const auto held = m_resources->held_bytes();
    const auto running = m_resources->running_bytes();
    m_held.set(static_cast<std::int64_t>(held));
    m_running.set(static_cast<std::int64_t>(running));
    m_peak_bytes = std::max(m_peak_bytes, held + running);
    const bool burst_over =
        m_peak_bytes >= min_burst_bytes && held + running < m_peak_bytes / burst_end_divisor;
    if (!burst_over) {
        m_fell_at = clock::time_point::max();
        return;
    }
    m_fell_at = std::min(m_fell_at, now);
    if (now - m_fell_at >= return_delay) {
        return_free_memory();
        m_peak_bytes = 0;
    }
}

} // namespace oriole::entry
