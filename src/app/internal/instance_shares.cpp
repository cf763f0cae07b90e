#include <utility>

#include "app/internal/instance_shares.h"

#include "app/internal/sleep_for.h"
#include "contracts/contracts_module.h"
#include "links/share_codec.h"

#include <glog/logging.h>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

constexpr const char* plan_path = "share-plan";
/// How often run() checks whether the first site has arrived.
constexpr std::chrono::milliseconds site_poll_interval{100};
constexpr std::chrono::milliseconds plan_retry_interval{1000};
constexpr std::chrono::milliseconds leave_poll_interval{20};
/// Maximum time to wait for the message that returns the shares. The call itself has a shorter
/// time-out.
constexpr clock::duration leave_timeout = std::chrono::seconds(2);

/// Name of the duty of writing a zone's ledger, by which its coordinator is chosen.
std::string ledger_duty(const zone_name& zone) {
    return "shares/" + zone.str();
}

} // namespace

instance_shares::instance_shares(const dependencies& provided, machines::instance self,
                                 std::size_t threads, std::uint32_t slots_per_zone)
    : m_executor(provided.executor),
      m_platform(provided.platform),
      m_random(provided.random),
      m_self(std::move(self)),
      m_threads(threads),
      m_slots_per_zone(slots_per_zone),
      m_store(provided.executor, provided.platform, provided.random, m_self.zone()),
      m_messenger(provided.executor, provided.peers),
      m_publisher(provided.executor, provided.traffic),
      m_assignment(zones::make_rendezvous_watcher_assignment()) {
    add_methods(provided.server);
}

void instance_shares::add_methods(links::peer_server& server) {
    server.add_method(links::share_request_method,
                      [this](std::string params) -> asio::awaitable<std::string> {
                          const auto ask = links::decode_share_request(params);
                          if (m_supervisor) {
                              m_supervisor->on_share_request(ask);
                          }
                          co_return "{}";
                      });
    server.add_method(links::share_response_method,
                      [this](std::string params) -> asio::awaitable<std::string> {
                          const auto give = links::decode_share_response(params);
                          if (m_supervisor) {
                              m_supervisor->on_share_response(give);
                          }
                          co_return "{}";
                      });
}

void instance_shares::set_site(const site::site_objects& site) {
    m_zones.clear();
    for (const auto& [name, zone] : site.zones()) {
        m_zones.insert(name);
    }
    m_rates.clear();
    for (const auto& [name, account] : site.accounts()) {
        m_rates.emplace(name, site.rates().at(account.rate()));
    }
    if (m_supervisor) {
        m_supervisor->set_rates(m_rates);
    }
}

void instance_shares::set_instances(const std::vector<machines::instance>& instances) {
    m_instances = instances;
    m_messenger.set_instances(instances);
    if (m_supervisor) {
        update_view();
    }
}

void instance_shares::add_demand(std::size_t thread, const std::map<account_name, double>& demand) {
    if (!m_supervisor) {
        return;
    }
    for (const auto& [account, weight] : demand) {
        m_supervisor->add_demand(thread, account, weight);
    }
}

asio::awaitable<void> instance_shares::run() {
    while (m_zones.empty()) {
        co_await sleep_for(site_poll_interval);
    }
    while (!m_supervisor) {
        const auto plan = co_await fetch_plan();
        if (plan) {
            create_supervisor(*plan);
        } else {
            co_await sleep_for(plan_retry_interval);
        }
    }
    while (true) {
        m_supervisor->tick();
        co_await sleep_for(std::chrono::duration_cast<std::chrono::milliseconds>(
            contracts::share_agent::tick_interval));
    }
}

asio::awaitable<std::optional<contracts::share_plan>> instance_shares::fetch_plan() {
    try {
        const auto stored = co_await m_platform.get(plan_path);
        if (stored) {
            co_return links::decode_share_plan(stored->value);
        }
        co_return co_await propose_plan();
    } catch (const links::platform_unreachable&) {
        LOG(WARNING) << "no shares yet: the platform does not answer";
    } catch (const links::version_conflict&) {
        LOG(INFO) << "share plan not stored because another instance has already stored one";
    } catch (const error& problem) {
        LOG(ERROR) << "cannot read or store the share plan reason=\"" << problem.what() << '"';
    }
    co_return std::nullopt;
}

asio::awaitable<contracts::share_plan> instance_shares::propose_plan() {
    const contracts::share_plan plan(m_slots_per_zone, m_zones);
    const std::string operation = make_unique_id(m_random);
    const std::string text = links::encode_share_plan(plan);
    co_await m_platform.put(plan_path, text, 0, operation);
    LOG(INFO) << "share plan stored plan=" << text;
    co_return plan;
}

void instance_shares::create_supervisor(const contracts::share_plan& plan) {
    using contracts::contracts_module;
    auto agent = contracts_module::make_share_agent(m_self.id(), m_self.zone(),
                                                    plan.initial_ledger(m_self.zone()));
    const share_supervisor::ports outside{m_store, m_messenger, m_publisher, steady_clock()};
    m_supervisor = std::make_unique<share_supervisor>(
        std::move(agent), contracts_module::make_share_divider(m_threads), outside);
    m_supervisor->set_rates(m_rates);
    update_view();
}

void instance_shares::update_view() {
    std::set<instance_id> peers;
    std::map<zone_name, std::vector<instance_id>> members;
    for (const auto& each : m_instances) {
        members[each.zone()].push_back(each.id());
        if (each.zone() == m_self.zone() && each.id() != m_self.id()) {
            peers.insert(each.id());
        }
    }
    if (!members.contains(m_self.zone())) {
        // The last instance of a zone remains coordinator of the ledger until it has returned its
        // own shares.
        members[m_self.zone()].push_back(m_self.id());
    }
    std::map<zone_name, instance_id> coordinators;
    for (const auto& [zone, ids] : members) {
        const auto chosen = m_assignment->assigned(ledger_duty(zone), ids, 1);
        coordinators.emplace(zone, chosen.at(0));
    }
    m_supervisor->set_view({std::move(peers), std::move(coordinators)});
}

asio::awaitable<void> instance_shares::leave() {
    if (!m_supervisor) {
        co_return;
    }
    const auto has_left = std::make_shared<bool>(false);
    m_supervisor->leave([has_left] { *has_left = true; });
    const auto end = steady_clock().now() + leave_timeout;
    const auto is_done = [&] {
        return *has_left && m_messenger.unanswered() == 0 && m_store.unanswered() == 0;
    };
    while (!is_done() && steady_clock().now() < end) {
        co_await sleep_for(leave_poll_interval);
    }
}

bool instance_shares::is_ready() const {
    return m_rates.empty() || (m_supervisor && m_supervisor->is_ready());
}

} // namespace oriole::app
