#include "app/internal/peer_fleet_supervisor.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using machines::instance;
using machines::instance_state;
using machines::member_state;

constexpr std::size_t tree_arity = 4; ///< see docs/decisions/0005-relay.md

} // namespace

peer_fleet_supervisor::peer_fleet_supervisor(const fleet_dependencies& dependencies,
                                             const machines::instance& self,
                                             const fleet_settings& settings)
    : m_dependencies(dependencies),
      m_self(self),
      m_settings(settings),
      m_store(dependencies.codec),
      m_membership(
          machines::make_probing_membership(self, settings.membership, dependencies.random)),
      m_topology(zones::make_sibling_tree_relay(tree_arity)),
      m_assignment(zones::make_rendezvous_watcher_assignment()),
      m_anti_entropy(
          zones::make_random_anti_entropy(dependencies.random, settings.anti_entropy_period)) {}

void peer_fleet_supervisor::start() {
    add_methods();
    spawn(poll_instance_list(), "instance list");
    spawn(probe_members(), "membership");
    spawn(watch_platform(), "configuration watch");
    spawn(run_anti_entropy(), "anti-entropy");
}

awaitable<void> peer_fleet_supervisor::announce_leaving() {
    m_leaving = true;
    m_membership->leave();
    try {
        const auto leaving = instance::builder()
                                 .id(m_self.id())
                                 .zone(m_self.zone())
                                 .caller_endpoint(m_self.caller_endpoint())
                                 .admin_endpoint(m_self.admin_endpoint())
                                 .peer_endpoint(m_self.peer_endpoint())
                                 .state(instance_state::leaving)
                                 .build();
        co_await m_dependencies.platform.announce(leaving);
    } catch (const error& failure) {
        LOG(WARNING) << "leaving not announced; platform unreachable; reason=\"" << failure.what()
                     << "\"";
    }
}

awaitable<void> peer_fleet_supervisor::stop() {
    m_stopped = true;
    try {
        co_await m_dependencies.platform.withdraw(m_self.id());
    } catch (const error& failure) {
        LOG(WARNING) << "instance not removed from the platform's list; the platform removes it "
                        "later; reason=\""
                     << failure.what() << "\"";
    }
}

void peer_fleet_supervisor::add_methods() {
    // The server may outlive the supervisor, so handlers hold a weak pointer and return an error
    // after the supervisor has been destroyed.
    const auto add = [this](const char* name, auto method) {
        m_dependencies.server.add_method(
            name, [weak = weak_from_this(), method](std::string params) -> awaitable<std::string> {
                const auto self = weak.lock();
                if (!self || self->m_stopped) {
                    throw error("this instance has stopped and does not answer peer calls");
                }
                co_return co_await ((*self).*method)(std::move(params));
            });
    };
    add(links::config_offer_method, &peer_fleet_supervisor::answer_offer);
    add(links::config_fetch_method, &peer_fleet_supervisor::answer_fetch);
    add(links::member_ping_method, &peer_fleet_supervisor::answer_ping);
    add(links::member_ping_via_method, &peer_fleet_supervisor::answer_ping_via);
}

/// Runs `work` as a background task. The completion handler keeps the supervisor alive until it
/// ends.
void peer_fleet_supervisor::spawn(awaitable<void> work, const char* task_name) {
    auto report = [task_name, self = shared_from_this()](const std::exception_ptr& failed) {
        try {
            if (failed) {
                std::rethrow_exception(failed);
            }
        } catch (const std::exception& failure) {
            LOG(ERROR) << "fleet task failed; task=\"" << task_name << "\" reason=\""
                       << failure.what() << "\"";
        }
    };
    asio::co_spawn(m_dependencies.executor, std::move(work), std::move(report));
}

awaitable<void> peer_fleet_supervisor::sleep(clock::duration time) {
    asio::steady_timer timer(m_dependencies.executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

awaitable<std::string> peer_fleet_supervisor::call(endpoint peer, const char* method,
                                                   std::string params) {
    const auto deadline = steady_clock().now() + m_settings.call_timeout;
    co_return co_await m_dependencies.peers.call(std::move(peer), method, std::move(params),
                                                 deadline);
}

std::map<zone_name, std::vector<instance_id>> peer_fleet_supervisor::participants_by_zone() const {
    std::map<zone_name, std::vector<instance_id>> found;
    for (const auto& member : m_membership->members()) {
        if (member.state == member_state::live || member.state == member_state::suspected) {
            found[member.instance_info.zone()].push_back(member.instance_info.id());
        }
    }
    return found;
}

std::optional<endpoint> peer_fleet_supervisor::endpoint_of(const instance_id& id) const {
    for (const auto& member : m_membership->members()) {
        if (member.instance_info.id() == id) {
            return member.instance_info.peer_endpoint();
        }
    }
    return std::nullopt;
}

bool peer_fleet_supervisor::is_watcher() const {
    const auto zones = participants_by_zone();
    const auto own = zones.find(m_self.zone());
    if (own == zones.end()) {
        return false;
    }
    const auto watchers = m_assignment->assigned(zones::config_watch_duty(m_self.zone()),
                                                 own->second, zones::config_watchers_per_zone);
    return std::find(watchers.begin(), watchers.end(), m_self.id()) != watchers.end();
}

std::shared_ptr<fleet_supervisor> make_fleet_supervisor(const fleet_dependencies& dependencies,
                                                        const instance& self,
                                                        const fleet_settings& settings) {
    return std::make_shared<peer_fleet_supervisor>(dependencies, self, settings);
}

} // namespace oriole::app
