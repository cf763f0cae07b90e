#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/metric_registry.h"
#include "contracts/rate_limiter.h"
#include "entry/internal/service_traffic.h"
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
                    zone_name own_zone, decision_log& log, metric_registry& metrics);

    void apply(std::shared_ptr<const fleet::fleet_view> view);

    /// Takes over a proof that another instance has made.
    void learn(const service_name& service, const sessions::position_proof& proof);

    /// Checks the key and finds the database's route in the newest configuration.
    [[nodiscard]] session_grant authorize(const std::string& database,
                                          const std::string& key) const;

    /// Counts an operation of the account and tells whether it is within its rate.
    [[nodiscard]] bool admit(const account_name& account);

    [[nodiscard]] service_traffic& service(const service_name& name);

    /// What happened since the last call.
    [[nodiscard]] traffic_report take_report();

    [[nodiscard]] std::shared_ptr<const fleet::fleet_view> view() const noexcept { return m_view; }

    [[nodiscard]] decision_log& log() noexcept { return m_log; }

    [[nodiscard]] metric_registry& metrics() noexcept { return m_metrics; }

    [[nodiscard]] latency_histogram& statement_latency() noexcept { return m_statement_latency; }

private:
    void apply_rates();

    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    zone_name m_own_zone;
    decision_log& m_log;
    metric_registry& m_metrics;
    latency_histogram m_statement_latency;
    std::shared_ptr<const fleet::fleet_view> m_view;
    std::map<service_name, std::unique_ptr<service_traffic>> m_services;
    std::unique_ptr<contracts::rate_limiter> m_limiter;
    std::map<account_name, fleet::account_share> m_shares;
    std::map<account_name, double> m_operations;
};

} // namespace oriole::entry
