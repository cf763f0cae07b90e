#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "usage/report_duty.h"
#include "usage/usage_authority.h"
#include "usage/usage_order_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace oriole::entry {

/// What the usage reporter needs of its instance. Not thread-safe; used on the control thread.
class usage_sources {
public:
    virtual ~usage_sources() = default;

    [[nodiscard]] virtual usage::report_situation situation() const = 0;

    /// Brings the counts of the window together from all zones.
    [[nodiscard]] virtual boost::asio::awaitable<usage::gathered_counts>
    gather(std::int64_t window) = 0;

    /// Tells the other candidates that the newest order's report was accepted.
    virtual void announce_order() = 0;
};

/// Carries out the steps that usage::report_duty decides on, and logs how each window ended. Not
/// thread-safe; runs on the control thread.
class usage_reporter {
public:
    /// All references must outlive this object.
    usage_reporter(boost::asio::any_io_executor executor, usage::report_duty& duty,
                   usage_sources& sources, usage::usage_order_store& orders,
                   usage::usage_authority& authority, decision_log& log, metric_registry& metrics);

    /// Reports windows until the executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Carries out steps until the duty has to wait.
    [[nodiscard]] boost::asio::awaitable<void> run_due_steps();

private:
    [[nodiscard]] boost::asio::awaitable<void> carry_out(usage::report_task task);
    [[nodiscard]] boost::asio::awaitable<void> read_order();
    [[nodiscard]] boost::asio::awaitable<void> record_order(usage::usage_order order);
    [[nodiscard]] boost::asio::awaitable<void> send_report(usage::usage_order order);
    void log_failure(const char* step, std::int64_t window, const std::string& reason);
    void log_outcomes();

    boost::asio::any_io_executor m_executor;
    usage::report_duty& m_duty;
    usage_sources& m_sources;
    usage::usage_order_store& m_orders;
    usage::usage_authority& m_authority;
    decision_log& m_log;
    metric& m_reported;
    metric& m_missed;
    metric& m_holds_duty;
    metric& m_lag;
};

} // namespace oriole::entry
