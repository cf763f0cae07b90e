#include "app/internal/peer_fleet_supervisor.h"

#include "links/backend_link.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::app {
namespace {

using boost::asio::awaitable;
using links::config_fetch;
using links::config_fetch_answer;
using links::config_offer;
using links::config_summary;

constexpr const char* head_path = "config/head";
constexpr const char* chunk_prefix = "config/chunks/";

/// Maximum total size of the chunks in one answer to config.fetch. Together with the head and the
/// escaping of text it stays within max_peer_message_bytes. A single larger chunk is sent alone.
constexpr std::size_t max_chunk_bytes_per_answer = std::size_t{512} << 10U;

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

} // namespace

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

} // namespace oriole::app
