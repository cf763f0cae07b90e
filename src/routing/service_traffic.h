#pragma once

#include <utility>

#include "fleet/types/configuration.h"
#include "fleet/types/fleet_view.h"
#include "fleet/types/primary_grant.h"
#include "routing/server_exchange.h"
#include "routing/server_pool.h"
#include "routing/types/service_report.h"
#include "scheduling/read_balancer.h"
#include "scheduling/retry_policy.h"
#include "sessions/position_proofs.h"
#include "usage/run_counter.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::routing {

using pool_ptr = std::shared_ptr<server_pool>;

/// The traffic thread's state of one database service: its servers, its primary, and the proven log
/// positions. Not thread-safe.
class service_traffic {
public:
    /// `usage` counts the operations that begin at the service's servers, unless it is null. It
    /// must outlive this object.
    service_traffic(boost::asio::any_io_executor executor, server_connector& connector,
                    zone_name own_zone,
                    fleet::primary_leasing leasing = fleet::primary_leasing::not_needed,
                    usage::run_counter* usage = nullptr);

    /// Sets the servers that may be used; connections to all others are closed.
    void apply(const std::vector<fleet::usable_server>& servers);

    /// Sets whether this instance is the zone's preferred gateway for the service.
    void set_gateway(bool gateway) { m_gateway = gateway; }

    /// Sets whether the service's routes differ in priority, so that statements are scheduled by
    /// it.
    void set_prioritized(bool prioritized);

    [[nodiscard]] bool prioritized() const noexcept { return m_prioritized; }

    /// Decides on retries of statements that a server refused for lack of capacity.
    [[nodiscard]] scheduling::retry_policy& retries() noexcept { return *m_retries; }

    /// Returns the counts of the schedules of all servers since the last call.
    [[nodiscard]] scheduling::schedule_counts take_schedule_counts();

    /// Requests that wait for a connection or a slot at any server.
    [[nodiscard]] std::size_t waiting() const;

    /// Records that another instance has forwarded a statement to this one.
    void record_gateway_use(clock::time_point now) { m_last_gateway_use = now; }

    /// Sets the pools' connection limits, which depend on whether this instance currently serves as
    /// a gateway.
    void adjust_limits(clock::time_point now);

    /// The primary; null when none is known or it may not be used, for example without a lease.
    [[nodiscard]] pool_ptr primary() const;

    /// Sets the lease on the primary, which is needed where a replaced primary keeps accepting
    /// writes.
    void set_lease(fleet::primary_grant lease);

    /// Returns whether the server is still the primary for certain: no promotion of another server
    /// can have taken effect. An answer that was received while this is true comes from the primary
    /// of that time.
    [[nodiscard]] bool may_use_as_primary(const server_pool& server) const;

    /// Returns the server for a read at `position` that is not in `tried`: by load one of this
    /// instance's zone or another, and last those that are failing or known to lag. Null when there
    /// is none. The read must be sent there, and its end recorded with record_read.
    [[nodiscard]] pool_ptr choose_reader(const machines::log_position& position,
                                         const account_name& account, const fleet::route& route,
                                         const std::set<server_name>& tried, clock::time_point now);

    /// Records how a read ended that was sent to a chosen server. `begins` says that it was sent
    /// with the begin of its transaction, so that its time is not comparable.
    void record_read(const server_pool& server, const exchange_result& result,
                     const fleet::route& route, bool begins, clock::time_point now);

    /// Records how long opening a connection to one of the servers took.
    void record_open(clock::duration elapsed, clock::time_point now);

    /// The number of servers.
    [[nodiscard]] std::size_t server_count() const noexcept { return m_pools.size(); }

    /// Chooses the servers for reads; null before the first read, as on instances that are no
    /// gateway for the service.
    [[nodiscard]] scheduling::read_balancer* balancer() noexcept { return m_balancer.get(); }

    /// Adds a proof that the server was the primary when its log had reached the position.
    void add_proof(const server_pool& server, const sessions::position_proof& proof);

    /// Records that the server's data include the position.
    void record_position(const server_pool& server, const machines::log_position& position);

    /// Records that the server has not reached the position yet.
    void record_lag(const server_pool& server, const machines::log_position& position,
                    clock::time_point now);

    /// Records that the server that is treated as the primary refused a request because it is not
    /// the primary.
    void record_not_leading(clock::time_point now);

    /// Counts an operation for the usage reports if a server began to run its first statement,
    /// whose result is given.
    void record_run(const account_name& account, const exchange_result& result);

    /// Records that a statement ended without an answer. If the server has answered nothing since,
    /// what silenced it may have silenced the connections to the others too: those that have been
    /// idle since then are closed, so that no further statement waits on one of them.
    void record_silence(const server_pool& server);

    /// Refuses the requests that wait for a connection.
    void refuse_waiting();

    /// Waits until another server becomes the primary, or until `deadline`.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_primary(clock::time_point deadline);

    [[nodiscard]] const sessions::position_proofs& proofs() const noexcept { return m_proofs; }

    /// Adds a position proof that another instance has reported.
    void add_peer_proof(const sessions::position_proof& proof) { m_proofs.add(proof); }

    [[nodiscard]] service_report report(clock::time_point now) const;

private:
    struct replica_progress {
        std::optional<machines::log_position> reached;
        std::optional<machines::log_position> missing;
        clock::time_point missing_since{};
    };

    [[nodiscard]] scheduling::reader reader_for(const server_pool& pool) const;
    [[nodiscard]] bool lags(const server_name& server, const machines::log_position& position,
                            clock::time_point now) const;
    void wake_primary_waiters();

    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    zone_name m_own_zone;
    fleet::primary_leasing m_leasing;
    usage::run_counter* m_usage;
    fleet::primary_grant m_lease;
    std::map<server_name, pool_ptr> m_pools;
    std::map<server_name, fleet::connection_quota> m_connection_quotas;
    bool m_gateway = true;
    bool m_prioritized = false;
    std::unique_ptr<random_source> m_random = make_random_source();
    std::unique_ptr<scheduling::retry_policy> m_retries =
        scheduling::make_budgeted_retry_policy(*m_random);
    std::optional<clock::time_point> m_last_gateway_use;
    std::map<server_name, replica_progress> m_replica_progress;
    pool_ptr m_primary;
    std::optional<clock::time_point> m_refused_lead_since;
    server_name m_proven_server;
    sessions::position_proofs m_proofs;
    std::unique_ptr<scheduling::read_balancer> m_balancer;
    int m_zones = 1; ///< zones with servers, and this instance's
    std::vector<std::shared_ptr<boost::asio::steady_timer>> m_primary_waiters;
};

} // namespace oriole::routing
