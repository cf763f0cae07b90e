#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/metric_registry.h"
#include "contracts/rate_limiter.h"
#include "entry/internal/forwarding_executor.h"
#include "entry/internal/gateway_link.h"
#include "entry/internal/local_executor.h"
#include "entry/internal/service_traffic.h"
#include "entry/types/entry_settings.h"
#include "entry/types/traffic_report.h"
#include "fleet/types/fleet_view.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oriole::entry {

/// A caller's right to use a database.
struct session_grant {
    sessions::answer_code code = sessions::answer_code::ok;
    account_name account;
    const fleet::route* route = nullptr; ///< valid while the view is
};

/// What the sessions of the traffic thread share: the newest view, the services and the accounts'
/// rates. Not thread-safe.
class traffic_context {
public:
    traffic_context(boost::asio::any_io_executor executor, server_connector& connector,
                    const entry_settings& settings, decision_log& log, metric_registry& metrics);

    void apply(std::shared_ptr<const fleet::fleet_view> view);

    /// Takes over a proof that another instance has made.
    void learn(const service_name& service, const sessions::position_proof& proof);

    /// Checks the key and finds the database's route in the newest configuration.
    [[nodiscard]] session_grant authorize(const std::string& database,
                                          const std::string& key) const;

    /// Whether an operation of the account is within its rate. A keeper of the zone decides, this
    /// instance by its reserve when it reaches none.
    [[nodiscard]] boost::asio::awaitable<bool> admit(account_name account);

    /// Whether this instance has a part of the account's rate to spend for others.
    [[nodiscard]] bool has_part_of(const account_name& account) const;

    /// How many of the operations are within this instance's part of the account's rate.
    [[nodiscard]] int admit_here(const account_name& account, int operations);

    /// Runs the statements of this instance's callers.
    [[nodiscard]] statement_executor& executor_for(const service_name& name);

    /// Runs statements that other instances hand over.
    [[nodiscard]] statement_executor& gateway_for(const service_name& name);

    /// What happened since the last call.
    [[nodiscard]] traffic_report take_report();

    [[nodiscard]] std::shared_ptr<const fleet::fleet_view> view() const noexcept { return m_view; }

    [[nodiscard]] decision_log& log() noexcept { return m_log; }

    [[nodiscard]] metric_registry& metrics() noexcept { return m_metrics; }

    [[nodiscard]] latency_histogram& statement_latency() noexcept { return m_statement_latency; }

private:
    /// Operations that a keeper has admitted and that have not come yet, and how many came lately.
    struct admitted_ahead {
        int left = 0;
        clock::time_point until{};
        int lately = 0; ///< since the last report
        int before = 0; ///< in the time before
    };

    /// One service and the ways to run its statements.
    struct service_entry {
        explicit service_entry(traffic_context& context);

        service_traffic traffic;
        local_executor local;
        forwarding_executor forwarding;
    };

    [[nodiscard]] service_entry& service(const service_name& name);
    void apply_roles();
    void apply_rates();

    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    instance_id m_own;
    zone_name m_own_zone;
    decision_log& m_log;
    metric_registry& m_metrics;
    latency_histogram m_statement_latency;
    std::shared_ptr<const fleet::fleet_view> m_view;
    gateway_link m_link;
    std::map<service_name, std::unique_ptr<service_entry>> m_services;
    std::unique_ptr<contracts::rate_limiter> m_limiter;
    std::map<account_name, fleet::account_share> m_shares;
    std::map<account_name, admitted_ahead> m_ahead;
};

} // namespace oriole::entry
