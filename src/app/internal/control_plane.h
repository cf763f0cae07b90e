#pragma once

#include "app/internal/configuration.h"
#include "app/internal/control_reports.h"
#include "app/internal/database_supervisor.h"
#include "app/internal/fleet_supervisor.h"
#include "app/internal/instance_shares.h"
#include "app/internal/traffic_control.h"
#include "app/internal/usage_reporter.h"
#include "links/caller_server.h"
#include "machines/connection_allocator.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace oriole::app {

/// Passes events between the supervisors and the traffic threads. Used on the control thread,
/// except for newer_term_seen and requests_counted, which any thread may call.
class control_plane final : public config_listener, public control_reports {
public:
    /// Precondition: `connector` and `metrics` outlive this object.
    control_plane(boost::asio::any_io_executor executor, machines::instance self,
                  std::size_t traffic_threads, links::backend_connector& connector,
                  metric_registry& metrics);

    /// Call once, before any other member. Precondition: the arguments outlive this object.
    void connect(fleet_supervisor& fleet, links::caller_server& callers, instance_shares& shares,
                 usage_reporter& usage);

    [[nodiscard]] traffic_control& traffic() noexcept { return m_traffic; }

    [[nodiscard]] const traffic_control& traffic() const noexcept { return m_traffic; }

    [[nodiscard]] database_supervisor& databases() noexcept { return m_databases; }

    [[nodiscard]] const database_supervisor& databases() const noexcept { return m_databases; }

    /// The live instances, this one included.
    [[nodiscard]] const std::vector<machines::instance>& instances() const noexcept {
        return m_instances;
    }

    void configuration_changed(const configuration& current) override;

    void newer_term_seen(const database_name& database, std::uint64_t term) override;

    void requests_counted(std::size_t thread, traffic_counts counts) override;

    /// Passes on changes of the membership and of the configuration's freshness at a fixed
    /// interval, until the executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    void stop();

private:
    void view_changed(const machines::database_view& view);
    void refresh_instances();
    void refresh_connection_quotas();
    void close_connections_of_withdrawn_keys();
    [[nodiscard]] std::vector<machines::instance> live_instances() const;
    /// Instances that may have connections to servers. This includes leaving ones, which still
    /// serve their callers.
    [[nodiscard]] std::vector<machines::instance> connected_instances() const;

    boost::asio::any_io_executor m_executor;
    machines::instance m_self;
    traffic_control m_traffic;
    database_supervisor m_databases;
    std::unique_ptr<machines::connection_allocator> m_connection_allocator;
    fleet_supervisor* m_fleet = nullptr;
    links::caller_server* m_callers = nullptr;
    instance_shares* m_shares = nullptr;
    usage_reporter* m_usage = nullptr;
    std::vector<machines::instance> m_instances;
    std::vector<machines::instance> m_connected;
    metric& m_generation;
    bool m_connection_quotas_outdated = false;
};

} // namespace oriole::app
