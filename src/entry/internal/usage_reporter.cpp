#include <utility>

#include "entry/internal/usage_reporter.h"

#include "entry/fleet_store.h"
#include "entry/internal/pause.h"

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using usage::miss_reason;
using usage::report_step;

constexpr clock::duration step_interval = 100ms;

std::string_view to_string(miss_reason reason) {
    switch (reason) {
    case miss_reason::none:
        return "none";
    case miss_reason::late:
        return "late";
    case miss_reason::zone_missing:
        return "zone_missing";
    case miss_reason::not_observed:
        return "not_observed";
    case miss_reason::store_away:
        return "store_away";
    case miss_reason::store_restored:
        return "store_restored";
    case miss_reason::superseded:
        return "superseded";
    case miss_reason::refused:
        return "refused";
    case miss_reason::no_answer:
        return "no_answer";
    }
    return "unknown";
}

} // namespace

usage_reporter::usage_reporter(asio::any_io_executor executor, usage::report_duty& duty,
                               usage_sources& sources, usage::usage_order_store& orders,
                               usage::usage_authority& authority, decision_log& log,
                               metric_registry& metrics)
    : m_executor(std::move(executor)),
      m_duty(duty),
      m_sources(sources),
      m_orders(orders),
      m_authority(authority),
      m_log(log),
      m_reported(metrics.get("oriole_usage_windows_reported_total")),
      m_missed(metrics.get("oriole_usage_windows_missed_total")),
      m_holds_duty(metrics.get("oriole_usage_reporter")),
      m_lag(metrics.get("oriole_usage_report_lag_ms")) {}

asio::awaitable<void> usage_reporter::run() {
    while (true) {
        co_await pause(m_executor, step_interval);
        co_await run_due_steps();
    }
}

asio::awaitable<void> usage_reporter::run_due_steps() {
    while (true) {
        auto task = m_duty.next(m_sources.situation());
        log_outcomes();
        if (task.step == report_step::wait) {
            break;
        }
        co_await carry_out(std::move(task));
    }
    m_holds_duty.set(m_duty.is_holder() ? 1 : 0);
}

asio::awaitable<void> usage_reporter::carry_out(usage::report_task task) {
    switch (task.step) {
    case report_step::wait:
        break;
    case report_step::read_order:
        co_await read_order();
        break;
    case report_step::gather: {
        auto counts = co_await m_sources.gather(task.window);
        m_duty.gathered(task.window, std::move(counts), m_sources.situation().now);
        break;
    }
    case report_step::record_order:
        co_await record_order(std::move(task.order));
        break;
    case report_step::send_report:
        co_await send_report(std::move(task.order));
        break;
    }
}

asio::awaitable<void> usage_reporter::read_order() {
    try {
        const auto order = co_await m_orders.newest();
        m_duty.order_read(order, m_sources.situation());
    } catch (const store_unavailable& failure) {
        log_failure("read_order", 0, failure.what());
        m_duty.store_failed(m_sources.situation().now);
    }
}

asio::awaitable<void> usage_reporter::record_order(usage::usage_order order) {
    const auto window = order.report.window;
    const auto asked = m_sources.situation().now;
    try {
        const auto recorded = co_await m_orders.record(std::move(order));
        if (recorded) {
            m_duty.order_recorded(*recorded, asked);
        } else {
            m_duty.order_replaced(m_sources.situation().now);
        }
    } catch (const store_unavailable& failure) {
        log_failure("record_order", window, failure.what());
        m_duty.store_failed(m_sources.situation().now);
    }
}

asio::awaitable<void> usage_reporter::send_report(usage::usage_order order) {
    const auto window = order.report.window;
    try {
        const auto result = co_await m_authority.send(order);
        if (result == usage::usage_result::refused) {
            log_failure("send_report", window, "a higher fencing token was seen");
        }
        m_duty.report_answered(order, result, m_sources.situation());
        if (result == usage::usage_result::accepted) {
            m_sources.announce_order();
        }
    } catch (const store_unavailable& failure) {
        log_failure("send_report", window, failure.what());
        m_duty.report_unanswered(m_sources.situation().now);
    }
}

void usage_reporter::log_failure(const char* step, std::int64_t window, const std::string& reason) {
    m_log.write(log_entry("usage_report")
                    .add("window", window)
                    .add("step", step)
                    .add("outcome", "failed")
                    .add("reason", reason));
}

void usage_reporter::log_outcomes() {
    for (const auto& outcome : m_duty.take_outcomes()) {
        const bool reported = outcome.reason == miss_reason::none;
        const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(outcome.lag).count();
        (reported ? m_reported : m_missed).add();
        if (reported) {
            m_lag.set(lag);
        }
        m_log.write(log_entry("usage_window")
                        .add("window", outcome.window)
                        .add("outcome", reported ? "reported" : "missed")
                        .add("reason", to_string(outcome.reason))
                        .add("lag_ms", lag));
    }
}

} // namespace oriole::entry
