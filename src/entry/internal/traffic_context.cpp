#include <utility>

#include "entry/internal/traffic_context.h"

#include "contracts/contracts_module.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace oriole::entry {
namespace {

/// A starting instance, whether new or restarted, has admitted no operations for at least this
/// long, so each account may use the operations that its rate allows for that time.
constexpr clock::duration min_startup_time = std::chrono::milliseconds(500);

/// How often the number of reads of each server is logged.
constexpr clock::duration read_share_interval = std::chrono::seconds(10);

const std::vector<fleet::registered_instance> no_instances;

/// The services whose routes differ in priority.
std::set<service_name> prioritized_services(const fleet::fleet_view& view) {
    std::set<service_name> prioritized;
    if (view.config == nullptr) {
        return prioritized;
    }
    std::map<service_name, int> priorities;
    for (const auto& [database, route] : view.config->routes) {
        const auto known = priorities.emplace(route.service, route.priority).first;
        if (known->second != route.priority) {
            prioritized.insert(route.service);
        }
    }
    return prioritized;
}

} // namespace

using sessions::answer_code;

traffic_context::traffic_context(boost::asio::any_io_executor executor,
                                 routing::server_connector& connector,
                                 const entry_settings& settings, decision_log& log,
                                 metric_registry& metrics,
                                 std::shared_ptr<machines::resource_account> resources)
    : m_executor(std::move(executor)),
      m_connector(connector, log, metrics),
      m_own(settings.instance),
      m_own_zone(settings.zone),
      m_leasing(settings.fenced_promotions ? fleet::primary_leasing::not_needed
                                           : fleet::primary_leasing::needed),
      m_resources(resources != nullptr ? std::move(resources)
                                       : std::make_shared<machines::resource_account>(
                                             machines::resource_bounds(settings.limits))),
      m_refusals(m_resources, log, metrics),
      m_log(log),
      m_metrics(metrics),
      m_statement_latency(metrics, "oriole_statement_latency"),
      m_run_counter(settings.usage ? usage::make_run_counter() : nullptr),
      m_view(std::make_shared<const fleet::fleet_view>()),
      m_link(m_executor, log, metrics),
      m_limiter(contracts::contracts_module::make_rate_limiter()) {}

void traffic_context::apply(std::shared_ptr<const fleet::fleet_view> view) {
    m_view = std::move(view);
    const auto prioritized = prioritized_services(*m_view);
    for (const auto& [name, servers] : m_view->servers) {
        auto& traffic = service(name).traffic;
        traffic.set_prioritized(prioritized.contains(name));
        traffic.apply(servers);
    }
    for (auto& [name, known] : m_services) {
        if (!m_view->servers.contains(name)) {
            known->traffic.apply({});
        }
    }
    apply_roles();
    apply_rates();
}

void traffic_context::add_peer_proof(const service_name& name,
                                     const sessions::position_proof& proof) {
    service(name).traffic.add_peer_proof(proof);
}

void traffic_context::set_lease(const service_name& name, fleet::primary_grant lease) {
    service(name).traffic.set_lease(std::move(lease));
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

boost::asio::awaitable<bool> traffic_context::admit(account_name account) {
    if (account.empty()) {
        // Only accounts have rates; a database that is open to all has clients without an account.
        co_return true;
    }
    const auto known = m_advance_admissions[account].decide(steady_clock().now());
    if (known != advance_admissions::decision::unknown) {
        co_return known == advance_admissions::decision::admitted;
    }
    const int wanted = m_advance_admissions[account].wanted();
    const auto roles = m_view->roles;
    const auto group = static_cast<std::size_t>(fleet::rate_group_of(account));
    for (const auto& coordinator : roles == nullptr ? no_instances : roles->rates.at(group).order) {
        if (coordinator.id == m_own) {
            break;
        }
        if (!m_link.usable(coordinator.id, steady_clock().now())) {
            continue;
        }
        std::string failure;
        try {
            const int admitted = co_await m_link.admit(coordinator, account, wanted);
            m_advance_admissions[account].record_answer(admitted, steady_clock().now());
            co_return admitted > 0;
        } catch (const gateway_refused& refused) {
            failure = refused.what();
        } catch (const gateway_outcome_unknown& no_answer) {
            failure = no_answer.what();
        }
        m_log.write(log_entry("rate_keeper")
                        .add("instance", coordinator.id.str())
                        .add("account", account.str())
                        .add("outcome", "no_answer")
                        .add("reason", failure));
    }
    co_return admit_locally(account, 1) > 0;
}

bool traffic_context::has_share_of(const account_name& account) const {
    if (m_view->roles == nullptr) {
        return false;
    }
    const auto group = static_cast<std::size_t>(fleet::rate_group_of(account));
    const auto share = m_shares.find(account);
    return fleet::contains_instance(m_view->roles->rates.at(group).order, m_own) &&
           share != m_shares.end() && share->second.operations_per_s > 0;
}

int traffic_context::admit_locally(const account_name& account, int operations) {
    const auto now = steady_clock().now();
    for (const int amount : {std::clamp(operations, 1, advance_admissions::max_batch), 1}) {
        if (m_limiter->try_spend(account, amount, now).is_admitted()) {
            return amount;
        }
    }
    const auto share = m_shares.find(account);
    log_entry line("rate_refused");
    line.add("account", account.str());
    if (share != m_shares.end()) {
        line.add("share_per_s", share->second.operations_per_s).add("burst", share->second.burst);
    }
    m_log.write(line);
    return 0;
}

statement_executor& traffic_context::executor_for(const service_name& name) {
    return service(name).forwarding;
}

statement_executor& traffic_context::gateway_for(const service_name& name) {
    auto& known = service(name);
    known.traffic.record_gateway_use(steady_clock().now());
    return known.local;
}

traffic_context::service_entry::service_entry(traffic_context& context)
    : traffic(context.m_executor, context.m_connector, context.m_own_zone, context.m_leasing,
              context.m_run_counter.get()),
      local(traffic),
      forwarding(context.m_link, local) {}

traffic_context::service_entry& traffic_context::service(const service_name& name) {
    auto& known = m_services[name];
    if (known == nullptr) {
        known = std::make_unique<service_entry>(*this);
    }
    return *known;
}

void traffic_context::apply_roles() {
    if (m_view->roles == nullptr) {
        return;
    }
    for (const auto& [name, ranked] : m_view->roles->gateways) {
        const auto own = std::find_if(ranked.begin(), ranked.end(), [this](const auto& instance) {
            return instance.id == m_own;
        });
        auto& known = service(name);
        known.traffic.set_gateway(own == ranked.begin());
        known.forwarding.set_gateways({ranked.begin(), own});
    }
}

void traffic_context::refuse_waiting() {
    for (const auto& [name, known] : m_services) {
        known->traffic.refuse_waiting();
    }
}

traffic_report traffic_context::collect_report() {
    m_suspensions.record_turn(boot_clock().now());
    m_refusals.publish(steady_clock().now());
    traffic_report report;
    const auto now = steady_clock().now();
    for (const auto& [name, known] : m_services) {
        known->traffic.adjust_limits(now);
        report.services[name] = known->traffic.report(now);
    }
    record_schedules();
    log_health_changes();
    if (now >= m_next_read_shares) {
        m_next_read_shares = now + read_share_interval;
        log_read_shares();
    }
    for (auto& [account, admissions] : m_advance_admissions) {
        admissions.end_interval();
    }
    if (m_run_counter != nullptr) {
        report.runs = m_run_counter->take();
    }
    return report;
}

void traffic_context::record_schedules() {
    scheduling::schedule_counts counts;
    std::size_t waiting = 0;
    for (const auto& [name, known] : m_services) {
        waiting += known->traffic.waiting();
        for (const auto& [priority, added] : known->traffic.take_schedule_counts()) {
            counts[priority] += added;
        }
    }
    m_metrics.get("oriole_waiting_statements").set(static_cast<std::int64_t>(waiting));
    for (const auto& [priority, added] : counts) {
        const auto labels = "priority=\"" + std::to_string(priority) + "\"";
        const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(added.waited);
        m_metrics.get("oriole_scheduled_statements_total{" + labels + "}").add(added.started);
        m_metrics.get("oriole_schedule_wait_us_total{" + labels + "}").add(waited.count());
        const auto add_refused = [&](const char* reason, std::int64_t refused) {
            std::string name("oriole_schedule_refused_total{");
            name.append(labels).append(",reason=\"").append(reason).append("\"}");
            m_metrics.get(name).add(refused);
        };
        add_refused("no_time", added.refused_ahead);
        add_refused("waited", added.refused_waited);
        add_refused("server", added.refused_by_server);
    }
}

void traffic_context::log_health_changes() {
    for (const auto& [name, known] : m_services) {
        auto* balancer = known->traffic.balancer();
        if (balancer == nullptr) {
            continue;
        }
        for (const auto& change : balancer->take_health_changes()) {
            m_metrics.get("oriole_servers_ejected").add(change.ejected ? 1 : -1);
            if (change.ejected) {
                m_metrics.get("oriole_server_ejections_total").add();
            }
            m_log.write(log_entry("server_health")
                            .add("service", name.str())
                            .add("server", change.server.str())
                            .add("outcome", change.ejected ? "ejected" : "taken_back")
                            .add("reason", scheduling::to_string(change.reason)));
        }
    }
}

void traffic_context::log_read_shares() {
    for (const auto& [name, known] : m_services) {
        auto* balancer = known->traffic.balancer();
        if (balancer == nullptr) {
            continue;
        }
        for (const auto& share : balancer->take_read_shares()) {
            if (share.reads > 0) {
                m_log.write(log_entry("server_reads")
                                .add("service", name.str())
                                .add("server", share.server.str())
                                .add("reads", share.reads)
                                .add("health", share.ejected ? "ejected" : "good"));
            }
        }
    }
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
        // An account that had no share here may use the operations that its rate allows for
        // min_startup_time.
        const auto since = known == m_shares.end() ? now - min_startup_time : now;
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
    std::erase_if(m_advance_admissions,
                  [this](const auto& known) { return !m_view->shares.contains(known.first); });
}

} // namespace oriole::entry
