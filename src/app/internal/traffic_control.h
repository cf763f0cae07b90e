#pragma once

#include "app/internal/traffic_thread.h"
#include "base/metric_registry.h"
#include "contracts/share_divider.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriole::app {

/// Maximum number of statement connections that this instance may open to each server.
using connection_quotas = std::map<server_name, std::size_t>;

/// Owns the traffic threads and posts configuration changes to them: sites, database views,
/// connection limits and rate shares. Used on the control thread.
class traffic_control {
public:
    /// Precondition: the references outlive this object.
    traffic_control(const instance_id& self, const zone_name& zone, std::size_t threads,
                    links::backend_connector& connector, metric_registry& metrics,
                    control_reports& reports);

    void start();
    void stop();

    [[nodiscard]] std::vector<links::caller_worker> workers() const;

    /// Sends a new site generation to all traffic threads. Connection pools are reused for servers
    /// whose address has not changed.
    /// Precondition: `generation` is higher than before and `objects` is consistent.
    void apply_site(site::generation generation, site::site_objects objects);

    void apply_view(const machines::database_view& view);
    void apply_connection_quotas(const connection_quotas& quotas);

    /// Posts to each thread its slice of the instance's rate shares. `applied` runs on each thread
    /// after its rate limiter uses the new slice.
    /// Precondition: `slices` has an element per thread.
    void post_shares(const contracts::thread_shares& slices, const std::function<void()>& applied);

    void set_config_confirmed_at(clock::time_point time);

    /// Null until the first configuration has been applied.
    [[nodiscard]] const std::shared_ptr<const site_context>& site() const noexcept {
        return m_site;
    }

    [[nodiscard]] std::size_t open_transactions() const;

private:
    [[nodiscard]] std::shared_ptr<links::backend_pool>
    pool_for(const machines::backend_server& server);

    links::backend_connector& m_connector;
    std::vector<std::unique_ptr<traffic_thread>> m_threads;
    std::shared_ptr<const site_context> m_site;
    connection_quotas m_connection_quotas;
    std::size_t m_next_pool_thread = 0;
};

} // namespace oriole::app
