#include <utility>

#include "entry/internal/primary_changer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::order_kind;
using sessions::server_order;

/// For one order to a server, with its connection; a lost primary's replicas are idle.
constexpr clock::duration ask_limit = 300ms;
/// How often and how often again a target is asked whether it has received the old primary's log.
constexpr int catch_up_attempts = 6;
constexpr clock::duration catch_up_pause = 60ms;
/// A server that the platform refused to promote is passed over for this long.
constexpr clock::duration refusal_memory = 2s;
/// Pause while another instance's last order is young.
constexpr clock::duration lease_pause = 1s;
/// Pause after a failed attempt: the store and the platform are priced by the call.
constexpr clock::duration failure_pause = 300ms;

asio::awaitable<void> pause(const asio::any_io_executor& executor, clock::duration time) {
    asio::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

primary_changer::primary_changer(asio::any_io_executor executor, fleet_knowledge& knowledge,
                                 fleet_store& store, promotion_authority& authority,
                                 server_connector& connector, decision_log& log,
                                 metric_registry& metrics, std::function<void()> on_change)
    : m_executor(std::move(executor)),
      m_knowledge(knowledge),
      m_store(store),
      m_authority(authority),
      m_connector(connector),
      m_log(log),
      m_promotions(metrics.get("oriole_promotions_total")),
      m_on_change(std::move(on_change)) {}

void primary_changer::start_due(clock::time_point now) {
    std::erase_if(m_refused, [now](const auto& item) { return item.second <= now; });
    for (auto& [service, change] : m_knowledge.due_changes(now)) {
        if (m_running.insert(service).second) {
            asio::co_spawn(m_executor, run(service, std::move(change)), asio::detached);
        }
    }
}

asio::awaitable<void> primary_changer::run(service_name service, fleet::primary_change change) {
    std::string failure;
    try {
        co_await bring_about(service, std::move(change));
    } catch (const store_unavailable& unavailable) {
        failure = unavailable.what();
    }
    if (!failure.empty()) {
        m_log.write(log_entry("primary_change")
                        .add("service", service.str())
                        .add("outcome", "unavailable")
                        .add("reason", failure));
        co_await pause(m_executor, failure_pause);
    }
    m_running.erase(service);
}

asio::awaitable<void> primary_changer::bring_about(service_name service,
                                                   fleet::primary_change change) {
    std::erase_if(change.candidates,
                  [this](const auto& server) { return m_refused.contains(server); });
    const auto known = m_orders.find(service);
    const auto seen_revision = known == m_orders.end() ? 0 : known->second.revision;
    auto order = co_await current_order(service);
    auto& watch = m_knowledge.primary_of(service);
    if (order.revision > seen_revision && !order.target.empty() && order.target != change.from &&
        order.holder != m_knowledge.own() && m_knowledge.find(order.target)) {
        // Another instance has just named a server; it gets the time to lead.
        watch.promoted(order.target);
        m_knowledge.set_last_holder(service, order.holder);
        m_on_change();
        co_return;
    }
    if (!m_knowledge.may_order(order, steady_clock().now())) {
        m_log.write(log_entry("primary_change")
                        .add("service", service.str())
                        .add("holder", order.holder.str())
                        .add("fence", order.revision)
                        .add("outcome", "holder_has_the_lease"));
        co_await pause(m_executor, lease_pause);
        co_return;
    }
    const auto target = co_await choose(change);
    if (!target) {
        m_log.write(log_entry("primary_change")
                        .add("service", service.str())
                        .add("from", change.from.str())
                        .add("outcome", "no_candidate"));
        co_await pause(m_executor, failure_pause);
        co_return;
    }
    order.service = service;
    order.holder = m_knowledge.own();
    order.target = *target;
    const auto taken = co_await take_order(order);
    if (!taken) {
        m_log.write(log_entry("primary_change")
                        .add("service", service.str())
                        .add("outcome", "another_instance_acts"));
        co_return;
    }
    co_await carry_out(std::move(change), *taken);
}

asio::awaitable<void> primary_changer::carry_out(fleet::primary_change change,
                                                 fleet::promotion_order order) {
    if (change.reason == fleet::change_reason::planned && !change.from.empty()) {
        co_await step_down(order.service, change, order.target);
    }
    const auto result = co_await m_authority.promote(order);
    m_promotions.add();
    const bool accepted = result == promotion_result::accepted;
    m_knowledge.note_order(order, steady_clock().now());
    m_log.write(
        log_entry("primary_change")
            .add("service", order.service.str())
            .add("from", change.from.str())
            .add("to", order.target.str())
            .add("reason", change.reason == fleet::change_reason::planned ? "planned" : "lost")
            .add("fence", order.revision)
            .add("outcome", accepted ? "accepted" : "refused"));
    if (accepted) {
        m_knowledge.primary_of(order.service).promoted(order.target);
    } else {
        m_refused[order.target] = steady_clock().now() + refusal_memory;
    }
    m_on_change();
}

asio::awaitable<fleet::promotion_order> primary_changer::current_order(service_name service) {
    try {
        auto order = co_await m_store.promotion_of(service);
        m_orders[service] = order;
        co_return order;
    } catch (const store_unavailable&) {
        const auto known = m_orders.find(service);
        if (known == m_orders.end() || known->second.holder != m_knowledge.own()) {
            throw;
        }
        // This instance gave the last order it knows of; the platform refuses it if there is a
        // newer one.
        co_return known->second;
    }
}

asio::awaitable<std::optional<fleet::promotion_order>>
primary_changer::take_order(fleet::promotion_order order) {
    try {
        auto taken = co_await m_store.record_promotion(order);
        if (taken) {
            m_orders[order.service] = *taken;
        }
        co_return taken;
    } catch (const store_unavailable&) {
        const auto known = m_orders.find(order.service);
        if (known == m_orders.end() || known->second.holder != m_knowledge.own() ||
            known->second.revision == 0) {
            throw;
        }
        co_return order;
    }
}

asio::awaitable<std::optional<sessions::server_status>> primary_changer::ask(server_name server,
                                                                             server_order order) {
    const auto listed = m_knowledge.find(server);
    if (!listed) {
        co_return std::nullopt;
    }
    const auto channel = m_connector.make_channel(m_executor);
    std::optional<sessions::server_status> status;
    std::string failure;
    try {
        server_introduction who{listed->address, listed->service, m_knowledge.any_account(),
                                listed->id};
        const auto opened = co_await channel->open(std::move(who), ask_limit);
        if (opened.code == sessions::answer_code::ok) {
            std::vector<server_order> orders{std::move(order)};
            co_await channel->send(std::move(orders), ask_limit);
            const auto answer = co_await channel->receive(ask_limit);
            status = answer.status;
        }
    } catch (const server_unreachable& unreachable) {
        failure = unreachable.what();
    }
    channel->close();
    log_entry line("server_status");
    line.add("server", server.str()).add("outcome", status ? "answered" : "no_answer");
    if (status) {
        line.add("primary", status->primary ? 1 : 0)
            .add("term", status->term)
            .add("received", std::to_string(status->received.term()) + "." +
                                 std::to_string(status->received.offset()));
    }
    if (!failure.empty()) {
        line.add("reason", failure);
    }
    m_log.write(line);
    co_return status;
}

asio::awaitable<std::optional<server_name>>
primary_changer::choose(const fleet::primary_change& change) {
    std::optional<server_name> best;
    machines::log_position longest;
    for (const auto& server : change.candidates) {
        server_order order;
        order.kind = order_kind::status;
        const auto status = co_await ask(server, order);
        if (status && (!best || status->received > longest)) {
            best = server;
            longest = status->received;
        }
    }
    co_return best;
}

asio::awaitable<void> primary_changer::step_down(service_name service, fleet::primary_change change,
                                                 server_name target) {
    server_order order;
    order.kind = order_kind::status;
    auto old = co_await ask(change.from, order);
    if (!old || !old->primary) {
        co_return;
    }
    order.kind = order_kind::step_down;
    order.term = std::max(old->term, m_knowledge.primary_of(service).term()) + 1;
    const auto stepped = co_await ask(change.from, order);
    if (stepped) {
        old = stepped;
    }
    // What the old primary has acknowledged survives once the target has received it.
    for (int attempt = 0; attempt < catch_up_attempts; ++attempt) {
        order = {};
        order.kind = order_kind::status;
        const auto status = co_await ask(target, order);
        if (status && status->received >= old->received) {
            co_return;
        }
        co_await pause(m_executor, catch_up_pause);
    }
}

} // namespace oriole::entry
