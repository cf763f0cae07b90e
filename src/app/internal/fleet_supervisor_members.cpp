#include "app/internal/peer_fleet_supervisor.h"

#include "links/backend_link.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::app {
namespace {

using boost::asio::awaitable;
using machines::instance;

/// Probe number of pings to seeds, which the membership did not request. Probes of the membership
/// are numbered from 1.
constexpr std::uint64_t unsolicited_probe = 0;

} // namespace

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

} // namespace oriole::app
