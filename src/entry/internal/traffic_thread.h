#pragma once

#include <utility>

#include "entry/entry_instance.h"
#include "entry/internal/background_task.h"
#include "entry/internal/caller_service.h"
#include "entry/internal/gateway_service.h"
#include "entry/internal/traffic_context.h"
#include "entry/types/entry_settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <memory>
#include <thread>

namespace oriole::entry {

/// The thread that serves clients. Its member functions may be called from any thread; they post to
/// this thread.
class traffic_thread {
public:
    using report_handler = std::function<void(traffic_report)>;

    /// `on_report` runs on the traffic thread.
    traffic_thread(const entry_settings& settings, entry_platform& platform, decision_log& log,
                   metric_registry& metrics, report_handler on_report,
                   std::shared_ptr<machines::resource_account> resources = nullptr);
    ~traffic_thread();

    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    /// Throws links::listen_failed when it cannot listen on `settings.callers`.
    void start();

    void apply(std::shared_ptr<const fleet::fleet_view> view);

    void add_peer_proof(service_name service, sessions::position_proof proof);

    /// Sets the lease on the service's primary.
    void set_lease(service_name service, fleet::primary_grant lease);

    /// Calls `on_applied` on the traffic thread after everything that was set before.
    void notify_when_applied(std::function<void()> on_applied);

    /// While isolated, quiet sessions are closed, once the load balancer no longer sends clients to
    /// this instance.
    void set_isolated(bool isolated);

    /// Ends the sessions after their operations, by force only at the end of the stop grace period,
    /// then calls `on_end` on the traffic thread.
    void leave(std::function<void()> on_end);

private:
    using session_list = std::list<std::weak_ptr<caller_service>>;

    void run_in_background(std::string name, task work);
    void serve(std::shared_ptr<caller_channel> channel);
    [[nodiscard]] boost::asio::awaitable<void> report_regularly();
    [[nodiscard]] boost::asio::awaitable<void> close_sessions(std::function<void()> on_end);
    [[nodiscard]] boost::asio::awaitable<void> close_idle_while_isolated();
    /// Tells up to `max_sessions` further sessions to end, and closes those that have been told and
    /// are quiet.
    static void end_next(const std::vector<std::shared_ptr<caller_service>>& sessions,
                         std::size_t max_sessions);
    void close_quiet(std::size_t max_sessions);
    [[nodiscard]] boost::asio::awaitable<void> pause(clock::duration time);
    [[nodiscard]] std::vector<std::shared_ptr<caller_service>> open_sessions();

    entry_settings m_settings;
    decision_log& m_log;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    traffic_context m_context;
    gateway_service m_gateway;
    std::unique_ptr<caller_listener> m_listener;
    report_handler m_on_report;
    session_list m_sessions;
    metric& m_open_sessions;
    bool m_isolated = false;
    std::thread m_thread;
};

} // namespace oriole::entry
