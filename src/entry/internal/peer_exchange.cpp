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

constexpr const char* report_method = "report";
/// Each polled instance is asked for its report once per interval. An instance whose calls the
/// store rejects receives a new configuration with such a report, so the interval is short
/// compared with the time limit for applying a configuration.
constexpr clock::duration poll_interval = 1s;
constexpr clock::duration call_limit = 500ms;

} // namespace

peer_exchange::peer_exchange(asio::any_io_executor executor, fleet_state& fleet,
                             const endpoint& listen, decision_log& log, metric_registry& metrics,
                             std::function<asio::awaitable<void>()> apply_orders,
                             std::shared_ptr<machines::resource_account> resources)
    : m_executor(std::move(executor)),
      m_fleet(fleet),
      m_log(log),
      m_unexpected_replies(log, metrics),
      m_link(links::make_peer_link(m_executor, fleet_secret())),
      m_server(links::make_peer_server(m_executor, listen, "peers", fleet_secret(),
                                       {std::move(resources), machines::client_port::peers})),
      m_apply_orders(std::move(apply_orders)),
      m_reachability(m_fleet.own_zone()) {
    m_server->add_method(report_method,
                         [this](std::string text) { return answer(std::move(text)); });
}

asio::awaitable<void> peer_exchange::run() {
    asio::steady_timer timer(m_executor);
    while (true) {
        const auto peers = m_fleet.report_peers();
        const auto gap = poll_interval / static_cast<int>(peers.size() + 1);
        for (const auto& peer : peers) {
            if (!should_poll(peer)) {
                continue;
            }
            asio::co_spawn(m_executor, exchange_with(peer), asio::detached);
            timer.expires_after(gap);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        timer.expires_after(gap);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void peer_exchange::exchange_with_all() {
    for (const auto& peer : m_fleet.report_peers()) {
        asio::co_spawn(m_executor, exchange_with(peer), asio::detached);
    }
}

void peer_exchange::announce_leaving() {
    m_leaving = true;
    m_exchanges_in_progress.clear();
    exchange_with_all();
}

asio::awaitable<void> peer_exchange::exchange_with(fleet::registered_instance peer) {
    if (!m_exchanges_in_progress.insert(peer.id).second) {
        co_return;
    }
    const auto id = peer.id;
    static_cast<void>(co_await ask_one(std::move(peer)));
    m_exchanges_in_progress.erase(id);
}

asio::awaitable<std::vector<peer_answer>>
peer_exchange::ask(std::vector<fleet::registered_instance> instances) {
    std::erase_if(instances, [this](const auto& instance) { return instance.id == m_fleet.own(); });
    auto answers = std::make_shared<std::vector<peer_answer>>();
    auto all_done = std::make_shared<asio::steady_timer>(m_executor, clock::time_point::max());
    const auto expected = instances.size();
    for (const auto& instance : instances) {
        asio::co_spawn(
            m_executor, ask_one(instance),
            [answers, all_done, expected](const std::exception_ptr& failure, peer_answer answer) {
                if (failure) {
                    std::rethrow_exception(failure);
                }
                answers->push_back(std::move(answer));
                if (answers->size() == expected) {
                    all_done->cancel();
                }
            });
    }
    if (answers->size() < expected) {
        boost::system::error_code ignored;
        co_await all_done->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(*answers);
}

asio::awaitable<peer_answer> peer_exchange::ask_one(fleet::registered_instance peer) {
    peer_answer answer;
    answer.from = peer.id;
    try {
        auto report = co_await exchange(peer);
        answer.orders = std::move(report.orders);
        answer.answered = true;
    } catch (const links::peer_not_running& failure) {
        record_end(peer, exchange_end::refused, failure.what());
        m_fleet.mark_refused(peer.id, peer.incarnation, steady_clock().now());
    } catch (const links::unexpected_answer& failure) {
        m_unexpected_replies.report(peer.id, failure.what());
        record_end(peer, exchange_end::silent, failure.what());
    } catch (const std::exception& failure) {
        record_end(peer, exchange_end::silent, failure.what());
    }
    co_return answer;
}

asio::awaitable<peer_report> peer_exchange::exchange(const fleet::registered_instance& peer) {
    const auto started = steady_clock().now();
    const auto asked = boot_clock().now();
    auto request = m_fleet.report_for(nullptr, started);
    request.leaving = m_leaving;
    auto text = encode_report(request);
    const auto answered = co_await m_link->call(peer.peer_address, report_method, std::move(text),
                                                started + call_limit);
    auto report = decode_report(answered);
    if (m_clocks != nullptr && report.wall_time) {
        m_clocks->record_wall_time(report.from, *report.wall_time, asked, boot_clock().now());
    }
    log_unusable_names(report);
    m_fleet.merge_report(report, asked, steady_clock().now());
    record_end(peer, exchange_end::answered, "answered");
    co_await apply_learned_orders();
    co_return report;
}

asio::awaitable<void> peer_exchange::apply_learned_orders() {
    if (!m_fleet.consume_order_learned() && m_orders_being_applied == 0) {
        co_return;
    }
    ++m_orders_being_applied;
    co_await m_apply_orders();
    --m_orders_being_applied;
}

asio::awaitable<std::string> peer_exchange::answer(std::string text) {
    const auto now = steady_clock().now();
    const auto request = decode_report(text);
    log_unusable_names(request);
    m_fleet.merge_report(request, std::nullopt, now);
    co_await apply_learned_orders();
    auto report = m_fleet.report_for(&request, now);
    report.leaving = m_leaving;
    report.granted_loans = m_fleet.grant_loans(request, boot_clock().now());
    if (m_clocks != nullptr) {
        report.wall_time = m_clocks->own_wall_time();
    }
    co_return encode_report(report);
}

void peer_exchange::log_unusable_names(const peer_report& report) {
    for (const auto& name : report.unusable_names) {
        m_log.write(log_entry("peer_report")
                        .add("instance", report.from.str())
                        .add("name", name)
                        .add("outcome", "name_unusable"));
    }
}

bool peer_exchange::should_poll(const fleet::registered_instance& peer) const {
    return m_fleet.is_polled_peer(peer.id) || m_fleet.any_primary_failing();
}

void peer_exchange::record_end(const fleet::registered_instance& peer, exchange_end end,
                               const std::string& reason) {
    if (!m_reachability.record(peer.id, peer.zone, end, steady_clock().now())) {
        return;
    }
    m_log.write(log_entry("peer")
                    .add("instance", peer.id.str())
                    .add("outcome", end == exchange_end::answered ? "reached" : "lost")
                    .add("reason", reason));
}

} // namespace oriole::entry
