#include <utility>

#include "entry/internal/peer_exchange.h"

#include "entry/internal/gateway_link.h"
#include "entry/peer_report_codec.h"
#include "links/backend_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr const char* method = "report";
/// Every instance is asked once in this time: short against the bound on a new configuration,
/// which an instance that the store turns away learns this way.
constexpr clock::duration round = 1s;
constexpr clock::duration call_limit = 500ms;

} // namespace

peer_exchange::peer_exchange(asio::any_io_executor executor, fleet_knowledge& knowledge,
                             const endpoint& listen, decision_log& log)
    : m_executor(std::move(executor)),
      m_knowledge(knowledge),
      m_log(log),
      m_link(links::make_peer_link(m_executor, fleet_secret())),
      m_server(links::make_peer_server(m_executor, listen, fleet_secret())) {
    m_server->add_method(method, [this](std::string text) { return answer(std::move(text)); });
}

asio::awaitable<void> peer_exchange::run() {
    asio::steady_timer timer(m_executor);
    while (true) {
        const auto peers = m_knowledge.partners();
        const auto gap = round / static_cast<int>(peers.size() + 1);
        for (const auto& peer : peers) {
            if (!has_turn(peer)) {
                continue;
            }
            asio::co_spawn(m_executor, ask(peer), asio::detached);
            timer.expires_after(gap);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        timer.expires_after(gap);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void peer_exchange::ask_all() {
    for (const auto& peer : m_knowledge.partners()) {
        asio::co_spawn(m_executor, ask(peer), asio::detached);
    }
}

void peer_exchange::tell_leaving() {
    m_leaving = true;
    m_asking.clear();
    ask_all();
}

asio::awaitable<void> peer_exchange::ask(fleet::listed_instance peer) {
    if (!m_asking.insert(peer.id).second) {
        co_return;
    }
    try {
        co_await exchange(peer);
    } catch (const links::peer_not_running& failure) {
        set_reachable(peer.id, false, failure.what());
        m_knowledge.mark_ended(peer.id, peer.incarnation);
    } catch (const error& failure) {
        set_reachable(peer.id, false, failure.what());
    }
    m_asking.erase(peer.id);
}

asio::awaitable<void> peer_exchange::exchange(const fleet::listed_instance& peer) {
    const auto started = steady_clock().now();
    const auto asked = boot_clock().now();
    auto question = m_knowledge.report_for(nullptr, started);
    question.leaving = m_leaving;
    auto text = encode_report(question);
    const auto answered =
        co_await m_link->call(peer.peer_address, method, std::move(text), started + call_limit);
    const auto report = decode_report(answered);
    m_knowledge.take_report(report, asked, steady_clock().now());
    set_reachable(peer.id, true, "answered");
}

asio::awaitable<std::string> peer_exchange::answer(std::string text) {
    const auto now = steady_clock().now();
    const auto question = decode_report(text);
    m_knowledge.take_report(question, std::nullopt, now);
    auto report = m_knowledge.report_for(&question.known, now);
    report.lent = m_knowledge.lend(question, boot_clock().now());
    co_return encode_report(report);
}

bool peer_exchange::has_turn(const fleet::listed_instance& peer) const {
    return m_knowledge.is_source(peer.id) || m_knowledge.primary_fails();
}

bool peer_exchange::lost_other_zones(const zone_name& own_zone) const {
    bool some = false;
    for (const auto& peer : m_knowledge.partners()) {
        if (peer.zone == own_zone) {
            continue;
        }
        const auto known = m_reachable.find(peer.id);
        if (known == m_reachable.end() || known->second) {
            return false;
        }
        some = true;
    }
    return some;
}

void peer_exchange::set_reachable(const instance_id& peer, bool reachable,
                                  const std::string& reason) {
    const auto known = m_reachable.find(peer);
    if (known != m_reachable.end() && known->second == reachable) {
        return;
    }
    m_reachable[peer] = reachable;
    m_log.write(log_entry("peer")
                    .add("instance", peer.str())
                    .add("outcome", reachable ? "reached" : "lost")
                    .add("reason", reason));
}

} // namespace oriole::entry
