#include <utility>

#include "entry/internal/traffic_context.h"

#include "contracts/contracts_module.h"

namespace oriole::entry {
namespace {

/// An instance that starts has spent nothing for at least this long, whether it is new or its
/// process was started again.
constexpr clock::duration unused_before_start = std::chrono::milliseconds(500);

} // namespace

using sessions::answer_code;

traffic_context::traffic_context(boost::asio::any_io_executor executor, server_connector& connector,
                                 zone_name own_zone, decision_log& log, metric_registry& metrics)
    : m_executor(std::move(executor)),
      m_connector(connector),
      m_own_zone(std::move(own_zone)),
      m_log(log),
      m_metrics(metrics),
      m_statement_latency(metrics, "oriole_statement_latency"),
      m_view(std::make_shared<const fleet::fleet_view>()),
      m_limiter(contracts::contracts_module::make_rate_limiter()) {}

void traffic_context::apply(std::shared_ptr<const fleet::fleet_view> view) {
    m_view = std::move(view);
    for (const auto& [name, servers] : m_view->servers) {
        service(name).apply(servers);
    }
    for (auto& [name, known] : m_services) {
        if (!m_view->servers.contains(name)) {
            known->apply({});
        }
    }
    apply_rates();
}

void traffic_context::learn(const service_name& name, const sessions::position_proof& proof) {
    service(name).learn(proof);
}

session_grant traffic_context::authorize(const std::string& database,
                                         const std::string& key) const {
    session_grant grant;
    if (m_view->config == nullptr) {
        grant.code = answer_code::busy;
        return grant;
    }
    const auto owner = m_view->accounts_by_key->find(key);
    if (owner != m_view->accounts_by_key->end()) {
        grant.account = owner->second;
    }
    const auto found = m_view->config->routes.find(database);
    if (found == m_view->config->routes.end()) {
        grant.code = answer_code::no_database;
        return grant;
    }
    if (grant.account.empty() && !found->second.open_to_all) {
        grant.code = answer_code::denied;
        return grant;
    }
    grant.route = &found->second;
    return grant;
}

bool traffic_context::admit(const account_name& account) {
    if (account.empty()) {
        return true; // Rates are an account's; a database open to all has callers without one.
    }
    m_operations[account] += 1;
    return m_limiter->try_spend(account, 1, steady_clock().now()).is_admitted();
}

service_traffic& traffic_context::service(const service_name& name) {
    auto& known = m_services[name];
    if (known == nullptr) {
        known = std::make_unique<service_traffic>(m_executor, m_connector, m_own_zone);
    }
    return *known;
}

traffic_report traffic_context::take_report() {
    traffic_report report;
    const auto now = steady_clock().now();
    for (const auto& [name, known] : m_services) {
        report.services[name] = known->report(now);
    }
    report.operations = std::exchange(m_operations, {});
    return report;
}

void traffic_context::apply_rates() {
    const auto now = steady_clock().now();
    const contracts::share whole(
        {contracts::share_piece(contracts::whole_share, clock::time_point::max())});
    for (const auto& [account, share] : m_view->shares) {
        const auto known = m_shares.find(account);
        if (known != m_shares.end() && known->second == share) {
            continue;
        }
        // What accrued while the account could not spend here is its own.
        const auto since = known == m_shares.end() ? now - unused_before_start : now;
        m_limiter->set_share(
            account, contracts::rate(rate_name(account.str()), share.operations_per_s, share.burst),
            whole, since);
        m_shares[account] = share;
    }
    std::erase_if(m_shares, [this](const auto& known) {
        if (m_view->shares.contains(known.first)) {
            return false;
        }
        m_limiter->remove(known.first);
        return true;
    });
}

} // namespace oriole::entry
