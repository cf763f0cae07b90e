#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/metric_registry.h"
#include "contracts/rate_limiter.h"
#include "entry/internal/advance_admissions.h"
#include "entry/internal/client_refusals.h"
#include "entry/internal/forwarding_executor.h"
#include "entry/internal/gateway_link.h"
#include "entry/internal/local_executor.h"
#include "entry/internal/suspension_monitor.h"
#include "entry/types/entry_settings.h"
#include "entry/types/traffic_report.h"
#include "fleet/types/fleet_view.h"
#include "machines/resource_account.h"
#include "routing/checked_connector.h"
#include "routing/service_traffic.h"
#include "usage/run_counter.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oriole::entry {

/// Result of checking a client's access to a database.
struct session_grant {
    sessions::answer_code code = sessions::answer_code::ok;
    account_name account;
    const fleet::route* route = nullptr; ///< valid as long as the current view
};

/// State that the sessions of the traffic thread share: the newest view, the services and the
/// accounts' rates. Not thread-safe.
class traffic_context {
public:
    /// Without `resources`, the context counts what its clients hold in an account of its own.
    traffic_context(boost::asio::any_io_executor executor, routing::server_connector& connector,
                    const entry_settings& settings, decision_log& log, metric_registry& metrics,
                    std::shared_ptr<machines::resource_account> resources = nullptr);

    void apply(std::shared_ptr<const fleet::fleet_view> view);

    /// Adds a position proof that another instance has reported.
    void add_peer_proof(const service_name& service, const sessions::position_proof& proof);

    /// Sets the lease on the service's primary.
    void set_lease(const service_name& service, fleet::primary_grant lease);

    /// Checks the API key and looks up the database's route in the newest configuration.
    [[nodiscard]] session_grant authorize(const std::string& database,
                                          const std::string& key) const;

    /// Returns whether an operation of the account is within its rate. A coordinator, the instance
    /// that admits operations for the account, decides. When none can be reached, this instance
    /// decides by its own share of the rate.
    [[nodiscard]] boost::asio::awaitable<bool> admit(account_name account);

    /// Returns whether this instance is a coordinator of the account and has a share of its rate,
    /// so that it can admit operations for other instances.
    [[nodiscard]] bool has_share_of(const account_name& account) const;

    /// Returns how many of the operations are within this instance's share of the account's rate:
    /// the batch of up to advance_admissions::max_batch, or one, or none.
    [[nodiscard]] int admit_locally(const account_name& account, int operations);

    /// Returns the executor for statements of this instance's own clients.
    [[nodiscard]] statement_executor& executor_for(const service_name& name);

    /// Returns the executor for statements that other instances forward.
    [[nodiscard]] statement_executor& gateway_for(const service_name& name);

    /// Refuses the requests that wait for a connection to a server.
    void refuse_waiting();

    /// Builds the report for the control thread and starts a new report interval.
    [[nodiscard]] traffic_report collect_report();

    /// How long a message that is read now may have waited unread, because this thread was
    /// suspended.
    [[nodiscard]] clock::duration unread_time() const {
        return m_suspensions.unread_time(boot_clock().now());
    }

    [[nodiscard]] std::shared_ptr<const fleet::fleet_view> view() const noexcept { return m_view; }

    [[nodiscard]] const boost::asio::any_io_executor& executor() const noexcept {
        return m_executor;
    }

    /// The account of what clients hold, which all threads share.
    [[nodiscard]] const std::shared_ptr<machines::resource_account>& resources() const noexcept {
        return m_resources;
    }

    [[nodiscard]] client_refusals& refusals() noexcept { return m_refusals; }

    [[nodiscard]] decision_log& log() noexcept { return m_log; }

    [[nodiscard]] metric_registry& metrics() noexcept { return m_metrics; }

    [[nodiscard]] latency_histogram& statement_latency() noexcept { return m_statement_latency; }

private:
    /// One service, with the executors for its statements: over this instance's own connections, or
    /// through a gateway.
    struct service_entry {
        explicit service_entry(traffic_context& context);

        routing::service_traffic traffic;
        local_executor local;
        forwarding_executor forwarding;
    };

    [[nodiscard]] service_entry& service(const service_name& name);
    void apply_roles();
    void apply_rates();
    /// Adds what the schedules of the services' servers have counted to the metrics.
    void record_schedules();
    /// Logs the servers that were ejected or taken back since the last call.
    void log_health_changes();
    /// Logs how many reads each server received since the last call.
    void log_read_shares();

    boost::asio::any_io_executor m_executor;
    routing::checked_connector m_connector;
    instance_id m_own;
    zone_name m_own_zone;
    fleet::primary_leasing m_leasing;
    std::shared_ptr<machines::resource_account> m_resources;
    client_refusals m_refusals;
    decision_log& m_log;
    metric_registry& m_metrics;
    latency_histogram m_statement_latency;
    /// Null where usage is not reported.
    std::unique_ptr<usage::run_counter> m_run_counter;
    std::shared_ptr<const fleet::fleet_view> m_view;
    gateway_link m_link;
    suspension_monitor m_suspensions;
    std::map<service_name, std::unique_ptr<service_entry>> m_services;
    std::unique_ptr<contracts::rate_limiter> m_limiter;
    std::map<account_name, fleet::account_share> m_shares;
    std::map<account_name, advance_admissions> m_advance_admissions;
    clock::time_point m_next_read_shares{};
};

} // namespace oriole::entry
