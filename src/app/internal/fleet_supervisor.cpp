#include "app/internal/fleet_supervisor.h"

#include "app/internal/config_store.h"
#include "links/backend_link.h"
#include "links/peer_codec.h"
#include "zones/anti_entropy.h"
#include "zones/relay_topology.h"
#include "zones/watcher_assignment.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <set>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using links::config_fetch;
using links::config_fetch_answer;
using links::config_offer;
using links::config_summary;
using machines::instance;
using machines::instance_state;
using machines::member_state;
using machines::member_update;

constexpr const char* head_path = "config/head";
constexpr const char* chunk_prefix = "config/chunks/";
constexpr std::size_t tree_arity = 4; ///< see docs/decisions/0005-relay.md

/// Maximum total size of the chunks in one answer to config.fetch. Together with the head and the
/// escaping of text it stays within max_peer_message_bytes. A single larger chunk is sent alone.
constexpr std::size_t max_chunk_bytes_per_answer = std::size_t{512} << 10U;

/// Probe number of pings to seeds, which the membership did not request. Probes of the membership
/// are numbered from 1.
constexpr std::uint64_t unsolicited_probe = 0;

/// Sets the flag for the lifetime of the guard, while a configuration is being loaded.
class loading_guard {
public:
    explicit loading_guard(bool& flag) : m_flag(flag) { m_flag = true; }

    ~loading_guard() { m_flag = false; }

    loading_guard(const loading_guard&) = delete;
    loading_guard& operator=(const loading_guard&) = delete;

private:
    bool& m_flag;
};

class peer_fleet_supervisor final : public fleet_supervisor,
                                    public std::enable_shared_from_this<peer_fleet_supervisor> {
public:
    peer_fleet_supervisor(const fleet_dependencies& dependencies, const instance& self,
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

    void start() override;
    awaitable<void> announce_leaving() override;
    awaitable<void> stop() override;

    [[nodiscard]] std::uint64_t generation() const override { return m_store.generation(); }

    [[nodiscard]] std::optional<clock::time_point> fresh_as_of() const override {
        return m_store.fresh_as_of();
    }

    [[nodiscard]] std::vector<member_update> members() const override {
        return m_membership->members();
    }

private:
    void add_methods();
    void spawn(awaitable<void> work, const char* task_name);
    awaitable<void> sleep(clock::duration time);
    awaitable<std::string> call(endpoint peer, const char* method, std::string params);
    awaitable<void> poll_instance_list();
    awaitable<void> refresh_instance_list();
    awaitable<void> probe_members();
    awaitable<void> ping(machines::send_ping action);
    awaitable<void> ping_via(machines::send_ping_via action);
    void ping_answered(std::uint64_t probe, const links::member_ping_answer& answer,
                       const endpoint& peer, clock::time_point asked_at);
    awaitable<std::string> answer_ping(std::string params);
    awaitable<std::string> answer_ping_via(std::string params);
    awaitable<void> watch_platform();
    awaitable<void> watch_once();
    awaitable<void> load_from_platform();
    void start_relay_if_watcher();
    void ping_seeds();
    awaitable<void> run_anti_entropy();
    void handle_summary(const config_summary& summary, const endpoint& peer, instance_id origin,
                        clock::time_point asked_at);
    awaitable<void> load_from_peer(endpoint peer);
    awaitable<void> fetch_from_peer(endpoint peer);
    awaitable<std::string> answer_offer(std::string params);
    awaitable<std::string> answer_fetch(std::string params);
    void activate_configuration(const std::string& source);
    void relay_configuration(const instance_id& origin);
    awaitable<void> offer_configuration(instance_id to, instance_id origin,
                                        std::shared_ptr<zones::relay_context> step,
                                        std::shared_ptr<std::set<instance_id>> offered);
    void offer_to_targets(const instance_id& origin,
                          const std::shared_ptr<zones::relay_context>& step,
                          const std::shared_ptr<std::set<instance_id>>& offered);
    void offer_to_other_zones();
    [[nodiscard]] std::map<zone_name, std::vector<instance_id>> participants_by_zone() const;
    [[nodiscard]] std::optional<endpoint> endpoint_of(const instance_id& id) const;
    [[nodiscard]] bool is_watcher() const;

    fleet_dependencies m_dependencies;
    instance m_self;
    fleet_settings m_settings;
    config_store m_store;
    std::unique_ptr<machines::membership> m_membership;
    std::unique_ptr<zones::relay_topology> m_topology;
    std::unique_ptr<zones::watcher_assignment> m_assignment;
    std::unique_ptr<zones::anti_entropy> m_anti_entropy;
    std::uint64_t m_revision = 0; ///< revision of the platform's store at the last watch
    bool m_head_loaded = false;   ///< false when the head must be read again before watching
    std::set<instance_id> m_pending_origins; ///< origins of offers received while loading
    bool m_loading = false;                  ///< allows only one configuration load at a time
    bool m_leaving = false;
    bool m_stopped = false;
};

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

awaitable<void> peer_fleet_supervisor::poll_instance_list() {
    while (!m_stopped) {
        bool failed = false;
        try {
            co_await refresh_instance_list();
        } catch (const error& failure) {
            failed = true;
            LOG_EVERY_N(WARNING, 60)
                << "cannot read the instance list; membership relies on pings; reason=\""
                << failure.what() << "\"";
        }
        const auto members = static_cast<std::int64_t>(m_membership->members().size());
        const auto period =
            std::max(m_settings.list_period, members * m_settings.list_period_per_member);
        co_await sleep(failed ? m_settings.platform_retry_delay : period);
    }
}

awaitable<void> peer_fleet_supervisor::refresh_instance_list() {
    const auto list = co_await m_dependencies.platform.instances();
    const bool listed = std::any_of(list.begin(), list.end(), [this](const instance& entry) {
        return entry.id() == m_self.id();
    });
    m_membership->list_received(list, steady_clock().now());
    if (!listed && !m_leaving && !m_stopped) {
        co_await m_dependencies.platform.announce(m_self);
    }
}

awaitable<void> peer_fleet_supervisor::probe_members() {
    while (!m_stopped) {
        for (const auto& action : m_membership->tick(steady_clock().now())) {
            if (const auto* direct = std::get_if<machines::send_ping>(&action)) {
                spawn(ping(*direct), "ping");
            } else {
                spawn(ping_via(std::get<machines::send_ping_via>(action)), "ping via");
            }
        }
        co_await sleep(m_settings.tick_period);
    }
}

awaitable<void> peer_fleet_supervisor::ping(machines::send_ping action) {
    const auto asked_at = steady_clock().now();
    try {
        std::string params =
            links::encode_peer_message(links::member_ping{action.to.id(), action.updates});
        const std::string answer =
            co_await call(action.to.peer_endpoint(), links::member_ping_method, std::move(params));
        ping_answered(action.probe, links::decode_peer_message<links::member_ping_answer>(answer),
                      action.to.peer_endpoint(), asked_at);
    } catch (const error& failure) {
        VLOG(1) << "ping not answered; member=" << action.to.id() << " reason=\"" << failure.what()
                << "\"";
    }
}

awaitable<void> peer_fleet_supervisor::ping_via(machines::send_ping_via action) {
    const auto asked_at = steady_clock().now();
    try {
        std::string params = links::encode_peer_message(links::member_ping_via{
            action.target.id(), action.target.peer_endpoint(), action.updates});
        const std::string answer = co_await call(action.via.peer_endpoint(),
                                                 links::member_ping_via_method, std::move(params));
        ping_answered(action.probe, links::decode_peer_message<links::member_ping_answer>(answer),
                      action.target.peer_endpoint(), asked_at);
    } catch (const error& failure) {
        VLOG(1) << "indirect ping not answered; member=" << action.target.id() << " reason=\""
                << failure.what() << "\"";
    }
}

void peer_fleet_supervisor::ping_answered(std::uint64_t probe,
                                          const links::member_ping_answer& answer,
                                          const endpoint& peer, clock::time_point asked_at) {
    m_membership->ping_answered(probe, answer.updates, steady_clock().now());
    handle_summary(answer.config, peer, {}, asked_at);
}

awaitable<std::string> peer_fleet_supervisor::answer_ping(std::string params) {
    const auto asked = links::decode_peer_message<links::member_ping>(params);
    if (!asked.to.empty() && asked.to != m_self.id()) {
        throw error("instance " + asked.to.str() + " no longer has this address");
    }
    const auto now = steady_clock().now();
    const links::member_ping_answer answer{m_membership->ping_received(asked.updates, now),
                                           m_store.summary(now)};
    co_return links::encode_peer_message(answer);
}

awaitable<std::string> peer_fleet_supervisor::answer_ping_via(std::string params) {
    const auto asked = links::decode_peer_message<links::member_ping_via>(params);
    std::string forwarded =
        links::encode_peer_message(links::member_ping{asked.target_id, asked.updates});
    co_return co_await call(asked.target, links::member_ping_method, std::move(forwarded));
}

awaitable<void> peer_fleet_supervisor::watch_platform() {
    bool first = true;
    while (!m_stopped) {
        if (!first && !is_watcher()) {
            m_head_loaded = false;
            co_await sleep(m_settings.platform_retry_delay);
            continue;
        }
        bool failed = false;
        try {
            co_await watch_once();
            first = false;
        } catch (const error& failure) {
            failed = true;
            // The platform may come back from an older copy and reach m_revision again, so that a
            // watch from there would miss changes.
            m_head_loaded = false;
            LOG_EVERY_N(WARNING, 60)
                << "cannot watch the configuration at the platform; asking peers instead; reason=\""
                << failure.what() << "\"";
        }
        // Instances that are not watchers also use the platform until they have a configuration.
        // During a platform outage they get it from peers.
        first = first && m_store.generation() == 0;
        if (failed) {
            co_await sleep(m_settings.platform_retry_delay);
        }
    }
}

/// Waits until the head changes or the watch request ends. If it has not changed, the current
/// generation is confirmed as of the time before the request was sent.
awaitable<void> peer_fleet_supervisor::watch_once() {
    const auto asked_at = steady_clock().now();
    if (!m_head_loaded) {
        co_await load_from_platform();
        m_head_loaded = true;
        co_return;
    }
    const auto seen =
        co_await m_dependencies.platform.watch(head_path, m_revision, m_settings.watch_wait);
    if (!seen.changes.empty() || seen.revision < m_revision) {
        m_head_loaded = false;
        co_await load_from_platform();
        m_head_loaded = true;
    } else {
        m_store.confirm_fresh(m_store.generation(), asked_at);
    }
    m_revision = seen.revision;
}

awaitable<void> peer_fleet_supervisor::load_from_platform() {
    const auto asked_at = steady_clock().now();
    const auto head = co_await m_dependencies.platform.get(head_path);
    if (!head) {
        co_return;
    }
    const auto offered = m_dependencies.codec.read_head(head->value);
    while (m_loading && !m_stopped) {
        co_await sleep(m_settings.tick_period);
    }
    const loading_guard guard(m_loading);
    if (m_store.begin_assembly(head->value)) {
        for (const auto& digest : m_store.missing_chunks()) {
            const std::string path = chunk_prefix + digest;
            const auto chunk = co_await m_dependencies.platform.get(path);
            if (!chunk || !m_store.add_chunk(digest, chunk->value)) {
                throw error("chunk " + digest + " is missing or damaged at the platform");
            }
        }
        if (m_store.commit()) {
            start_relay_if_watcher();
        }
    }
    m_store.confirm_fresh(offered.generation, asked_at);
}

/// Only watchers relay: an instance that has just started loads a configuration that the others
/// already hold.
void peer_fleet_supervisor::start_relay_if_watcher() {
    const bool watcher = is_watcher();
    if (watcher) {
        m_pending_origins.insert(m_self.id());
    }
    activate_configuration("platform");
    if (watcher) {
        offer_to_other_zones();
    }
}

awaitable<void> peer_fleet_supervisor::run_anti_entropy() {
    while (!m_stopped) {
        const bool empty = m_store.generation() == 0;
        co_await sleep(empty ? m_settings.platform_retry_delay : m_anti_entropy->next_delay());
        const auto peer = m_anti_entropy->pick_peer(m_membership->participants(), m_self.id());
        const auto address = peer ? endpoint_of(*peer) : std::nullopt;
        if (m_stopped) {
            co_return;
        }
        if (!address) {
            ping_seeds();
            continue;
        }
        const auto asked_at = steady_clock().now();
        const auto own = m_store.summary(asked_at);
        try {
            std::string params = links::encode_peer_message(
                config_offer{own.generation, own.digest, {}, m_self.peer_endpoint()});
            const std::string answer =
                co_await call(*address, links::config_offer_method, std::move(params));
            handle_summary(links::decode_peer_message<config_summary>(answer), *address, {},
                           asked_at);
        } catch (const error& failure) {
            VLOG(1) << "anti-entropy exchange failed; peer=" << *peer << " reason=\""
                    << failure.what() << "\"";
        }
    }
}

/// Pings the seeds, so that this instance and the seeds learn of each other as members.
void peer_fleet_supervisor::ping_seeds() {
    const auto own = m_membership->members();
    for (const auto& seed : m_settings.seeds) {
        if (seed == m_self.peer_endpoint()) {
            continue;
        }
        const auto target = instance::builder().peer_endpoint(seed).build();
        spawn(ping({unsolicited_probe, target, own}), "seed");
    }
}

/// Handles a peer's summary of its configuration. A higher generation is fetched. For the same
/// generation, the peer's confirmation time is adopted, and the configuration is relayed if the
/// summary came with a relayed offer.
void peer_fleet_supervisor::handle_summary(const config_summary& summary, const endpoint& peer,
                                           instance_id origin, clock::time_point asked_at) {
    if (summary.generation > m_store.generation()) {
        if (!origin.empty()) {
            m_pending_origins.insert(std::move(origin));
        }
        if (!m_loading) {
            spawn(load_from_peer(peer), "fetch");
        }
        return;
    }
    if (summary.generation < m_store.generation() || summary.generation == 0) {
        return;
    }
    if (summary.digest != m_store.current()->head.digest) {
        LOG(ERROR)
            << "peer has a different configuration with the same generation number; ignored; peer="
            << peer.str() << " generation=" << summary.generation;
        return;
    }
    if (summary.age) {
        m_store.confirm_fresh(summary.generation, asked_at - *summary.age);
    }
    if (!origin.empty()) {
        relay_configuration(origin);
    }
}

awaitable<void> peer_fleet_supervisor::load_from_peer(endpoint peer) {
    if (m_loading) {
        co_return;
    }
    const loading_guard guard(m_loading);
    try {
        co_await fetch_from_peer(peer);
        if (m_store.commit()) {
            activate_configuration("peer " + peer.str());
        }
    } catch (const std::exception& failure) {
        LOG(WARNING)
            << "cannot fetch the configuration from this peer; waiting for another offer; peer="
            << peer.str() << " reason=\"" << failure.what() << "\"";
    }
}

awaitable<void> peer_fleet_supervisor::fetch_from_peer(endpoint peer) {
    const auto deadline = steady_clock().now() + m_settings.fetch_timeout;
    config_fetch wanted;
    std::string params = links::encode_peer_message(wanted);
    std::string text = co_await m_dependencies.peers.call(peer, links::config_fetch_method,
                                                          std::move(params), deadline);
    const auto first = links::decode_peer_message<config_fetch_answer>(text);
    if (!m_store.begin_assembly(first.head)) {
        co_return;
    }
    wanted.chunks = m_store.missing_chunks();
    while (!wanted.chunks.empty()) {
        params = links::encode_peer_message(wanted);
        text = co_await m_dependencies.peers.call(peer, links::config_fetch_method,
                                                  std::move(params), deadline);
        std::size_t added = 0;
        for (const auto& [digest, chunk] :
             links::decode_peer_message<config_fetch_answer>(text).chunks) {
            added += m_store.add_chunk(digest, chunk) ? 1 : 0;
        }
        if (added == 0) {
            throw error("peer no longer holds the requested chunks");
        }
        wanted.chunks = m_store.missing_chunks();
    }
}

awaitable<std::string> peer_fleet_supervisor::answer_offer(std::string params) {
    const auto offered = links::decode_peer_message<config_offer>(params);
    const auto now = steady_clock().now();
    // The time at which the offer was sent is unknown, so the offer does not confirm freshness.
    const config_summary summary{offered.generation, offered.digest, {}};
    const auto zones = participants_by_zone();
    const auto own = zones.find(m_self.zone());
    const bool from_other_zone =
        !offered.origin.empty() &&
        (own == zones.end() ||
         std::find(own->second.begin(), own->second.end(), offered.origin) == own->second.end());
    handle_summary(summary, offered.from, from_other_zone ? m_self.id() : offered.origin, now);
    co_return links::encode_peer_message(m_store.summary(now));
}

awaitable<std::string> peer_fleet_supervisor::answer_fetch(std::string params) {
    const auto wanted = links::decode_peer_message<config_fetch>(params);
    if (!m_store.current()) {
        throw error("this instance has no configuration yet");
    }
    const auto& held = *m_store.current();
    config_fetch_answer answer{held.head_text, {}};
    std::size_t bytes = 0;
    for (const auto& digest : wanted.chunks) {
        const auto chunk = held.chunks.find(digest);
        if (chunk == held.chunks.end()) {
            continue;
        }
        bytes += chunk->second.size();
        if (bytes > max_chunk_bytes_per_answer && !answer.chunks.empty()) {
            break;
        }
        answer.chunks.insert(*chunk);
    }
    co_return links::encode_peer_message(answer);
}

void peer_fleet_supervisor::activate_configuration(const std::string& source) {
    LOG(INFO) << "new configuration accepted; generation=" << m_store.generation() << " source=\""
              << source << "\"";
    m_dependencies.listener.configuration_changed(*m_store.current());
    for (const auto& origin : std::exchange(m_pending_origins, {})) {
        relay_configuration(origin);
    }
}

void peer_fleet_supervisor::relay_configuration(const instance_id& origin) {
    if (!m_stopped && m_store.mark_relayed(origin)) {
        const auto zones = participants_by_zone();
        const auto step = std::make_shared<zones::relay_context>();
        const auto own = zones.find(m_self.zone());
        if (own == zones.end()) {
            return;
        }
        step->members = own->second;
        step->origin = origin;
        step->self = m_self.id();
        step->generation = m_store.generation();
        offer_to_targets(origin, step, std::make_shared<std::set<instance_id>>());
    }
}

void peer_fleet_supervisor::offer_to_targets(
    const instance_id& origin, const std::shared_ptr<zones::relay_context>& step,
    const std::shared_ptr<std::set<instance_id>>& offered) {
    for (const auto& target : m_topology->targets(*step)) {
        if (offered->insert(target).second) {
            spawn(offer_configuration(target, origin, step, offered), "offer");
        }
    }
}

/// Offers the configuration to one instance. If it does not answer, this instance sends the offer
/// to its children in the relay tree instead.
awaitable<void>
peer_fleet_supervisor::offer_configuration(instance_id to, instance_id origin,
                                           std::shared_ptr<zones::relay_context> step,
                                           std::shared_ptr<std::set<instance_id>> offered) {
    const auto address = endpoint_of(to);
    const auto asked_at = steady_clock().now();
    const auto own = m_store.summary(asked_at);
    bool answered = false;
    try {
        if (address) {
            std::string params = links::encode_peer_message(
                config_offer{own.generation, own.digest, origin, m_self.peer_endpoint()});
            const std::string answer =
                co_await call(*address, links::config_offer_method, std::move(params));
            answered = true;
            handle_summary(links::decode_peer_message<config_summary>(answer), *address, {},
                           asked_at);
        }
    } catch (const error& failure) {
        VLOG(1) << "configuration offer failed; member=" << to << " reason=\"" << failure.what()
                << "\"";
    }
    if (!answered && step->generation == m_store.generation()) {
        step->dead.insert(to);
        offer_to_targets(origin, step, offered);
    }
}

/// Offers the configuration to the watchers of the other zones, in case they cannot reach the
/// platform.
void peer_fleet_supervisor::offer_to_other_zones() {
    // This relay context lists no members, so offer_configuration sends no further offers when a
    // watcher does not answer. Each zone has another watcher that also gets the offer.
    const auto step = std::make_shared<zones::relay_context>();
    const auto offered = std::make_shared<std::set<instance_id>>();
    for (const auto& [zone, members] : participants_by_zone()) {
        if (zone == m_self.zone()) {
            continue;
        }
        const auto duty = zones::config_watch_duty(zone);
        for (const auto& watcher :
             m_assignment->assigned(duty, members, zones::config_watchers_per_zone)) {
            spawn(offer_configuration(watcher, m_self.id(), step, offered), "offer");
        }
    }
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

} // namespace

std::shared_ptr<fleet_supervisor> make_fleet_supervisor(const fleet_dependencies& dependencies,
                                                        const instance& self,
                                                        const fleet_settings& settings) {
    return std::make_shared<peer_fleet_supervisor>(dependencies, self, settings);
}

} // namespace oriole::app
