#include <utility>

#include "entry/internal/usage_collector.h"

#include "usage/delivery_intervals.h"

#include "entry/internal/pause.h"
#include "entry/usage_message_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr const char* counts_method = "usage_counts";
constexpr const char* entries_method = "usage_entries";
constexpr const char* order_method = "usage_order";

constexpr clock::duration call_limit = 500ms;
/// An instance whose zone has had no collector in reach for this long sends its counts to those of
/// other zones.
constexpr clock::duration zone_lost_after = 1500ms;

} // namespace

usage_collector::usage_collector(asio::any_io_executor executor,
                                 const usage::usage_settings& settings,
                                 const fleet::registered_instance& own, fleet_state& fleet,
                                 links::peer_link& link, links::peer_server& server,
                                 usage_time& time, usage::report_duty& duty)
    : m_executor(std::move(executor)),
      m_settings(settings),
      m_own(own),
      m_fleet(fleet),
      m_link(link),
      m_time(time),
      m_duty(duty),
      m_own_counts(own.id, own.incarnation, settings.window),
      m_zone_reached_at(boot_clock().now()) {
    server.add_method(counts_method,
                      [this](std::string text) { return on_counts(std::move(text)); });
    server.add_method(entries_method,
                      [this](std::string text) { return on_entries_request(std::move(text)); });
    server.add_method(order_method, [this](std::string text) { return on_order(std::move(text)); });
}

asio::awaitable<void> usage_collector::deliver_regularly() {
    while (true) {
        co_await pause(m_executor, usage::delivery_interval);
        deliver_all();
    }
}

void usage_collector::deliver_all() {
    advance();
    const auto keys = own_keys();
    for (const auto& target : delivery_targets()) {
        start_delivery(target, keys, false);
    }
}

asio::awaitable<void> usage_collector::relay_regularly() {
    while (true) {
        co_await pause(m_executor, usage::relay_interval);
        const auto& collectors = m_fleet.usage_collectors();
        const auto zone = collectors.find(m_own.zone);
        const bool leads = zone != collectors.end() && zone->second.front().id == m_own.id;
        if (!leads) {
            continue;
        }
        auto keys = m_received_directly;
        keys.merge(own_keys());
        for (const auto& [name, members] : collectors) {
            if (name != m_own.zone) {
                start_delivery(members.front(), keys, true);
            }
        }
    }
}

asio::awaitable<usage::gathered_counts> usage_collector::gather(std::int64_t window) {
    auto state = std::make_shared<gathering>(m_executor);
    state->window = window;
    state->observed = collects() && first_whole_window() <= window;
    if (collects()) {
        state->zones.insert(m_own.zone);
    }
    for (const auto& collector : all_collectors()) {
        ++state->open_requests;
        asio::co_spawn(m_executor, ask(collector, state), asio::detached);
    }
    if (state->open_requests > 0) {
        boost::system::error_code ignored;
        co_await state->all_answered.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    usage::gathered_counts result;
    result.counts = m_ledger.sum(window);
    result.status =
        state->observed ? usage::gather_status::complete : usage::gather_status::not_observed;
    for (const auto& [zone, members] : m_fleet.usage_collectors()) {
        if (!state->zones.contains(zone)) {
            result.status = usage::gather_status::zone_missing;
        }
    }
    co_return result;
}

void usage_collector::announce_order() {
    for (const auto& collector : all_collectors()) {
        asio::co_spawn(m_executor, announce(collector), asio::detached);
    }
}

void usage_collector::advance() {
    m_time.advance();
    const auto now = m_time.now();
    if (!now) {
        return;
    }
    const auto current = usage::window_at(*now, m_settings.window);
    m_first_window = current - m_settings.late_limit / m_settings.window - 1;
    // The next window, as the clock of another instance may be slightly ahead.
    m_last_window = current + 1;
    m_ledger.keep(m_first_window, m_last_window);
    std::erase_if(m_received_directly,
                  [this](const auto& key) { return key.window < m_first_window; });
    m_own_counts.place(m_time.clock(), m_ledger);
    forget_ended_collectors();
    if (!collects()) {
        m_collects_since.reset();
    } else if (!m_collects_since) {
        m_collects_since = now;
    }
}

void usage_collector::forget_ended_collectors() {
    std::set<process> current;
    for (const auto& collector : all_collectors()) {
        current.emplace(collector.id, collector.incarnation);
    }
    std::erase_if(m_deliveries,
                  [&current](const auto& known) { return !current.contains(known.first); });
}

bool usage_collector::collects() const {
    const auto& collectors = m_fleet.usage_collectors();
    const auto zone = collectors.find(m_own.zone);
    return zone != collectors.end() && fleet::contains_instance(zone->second, m_own.id);
}

std::int64_t usage_collector::first_whole_window() const {
    return m_collects_since ? usage::window_at(*m_collects_since, m_settings.window) + 1
                            : m_last_window + 1;
}

std::vector<fleet::registered_instance> usage_collector::delivery_targets() const {
    const bool zone_lost = !collects() && boot_clock().now() - m_zone_reached_at > zone_lost_after;
    std::vector<fleet::registered_instance> targets;
    for (const auto& collector : all_collectors()) {
        if (collector.zone == m_own.zone || zone_lost) {
            targets.push_back(collector);
        }
    }
    return targets;
}

std::vector<fleet::registered_instance> usage_collector::all_collectors() const {
    std::vector<fleet::registered_instance> result;
    for (const auto& [zone, members] : m_fleet.usage_collectors()) {
        for (const auto& member : members) {
            if (member.id != m_own.id) {
                result.push_back(member);
            }
        }
    }
    return result;
}

std::set<usage::entry_key> usage_collector::own_keys() const {
    std::set<usage::entry_key> keys;
    for (auto window = m_first_window; window <= m_last_window; ++window) {
        keys.insert({window, m_own.id, m_own.incarnation});
    }
    return keys;
}

void usage_collector::start_delivery(const fleet::registered_instance& target,
                                     const std::set<usage::entry_key>& keys, bool relayed) {
    const process receiver{target.id, target.incarnation};
    if (m_deliveries_in_progress.contains(receiver)) {
        return;
    }
    usage::counts_message message;
    message.entries = m_deliveries[receiver].unacknowledged(m_ledger.entries(keys));
    if (message.entries.empty()) {
        if (target.zone == m_own.zone) {
            m_zone_reached_at = boot_clock().now();
        }
        return;
    }
    message.relayed = relayed;
    message.order = m_duty.news(boot_clock().now());
    m_deliveries_in_progress.insert(receiver);
    asio::co_spawn(m_executor, deliver(target, std::move(message)), asio::detached);
}

asio::awaitable<void> usage_collector::deliver(fleet::registered_instance target,
                                               usage::counts_message message) {
    const process receiver{target.id, target.incarnation};
    try {
        const auto answer = co_await call(target, counts_method, encode_counts(message));
        const auto receipt = decode_receipt(answer);
        const auto now = boot_clock().now();
        m_deliveries[receiver].acknowledge(message.entries, receipt, m_first_window);
        m_duty.heard(receipt.order, now);
        if (target.zone == m_own.zone) {
            m_zone_reached_at = now;
        }
    } catch (const std::exception&) {
        // The entries stay unacknowledged and are sent again after the next interval.
    }
    m_deliveries_in_progress.erase(receiver);
}

asio::awaitable<void> usage_collector::ask(fleet::registered_instance collector,
                                           std::shared_ptr<gathering> state) {
    try {
        const usage::entries_request request{state->window, m_ledger.totals(state->window)};
        const auto text = co_await call(collector, entries_method, encode_entries_request(request));
        const auto answer = decode_entries_answer(text);
        for (const auto& entry : answer.entries) {
            m_ledger.merge(entry);
        }
        state->zones.insert(collector.zone);
        state->observed = state->observed || answer.first_whole_window <= state->window;
    } catch (const std::exception&) {
        // The zone of a collector that does not answer is missing unless another one answers.
    }
    if (--state->open_requests == 0) {
        state->all_answered.cancel();
    }
}

asio::awaitable<void> usage_collector::announce(fleet::registered_instance collector) {
    try {
        auto text = encode_order_news(m_duty.news(boot_clock().now()));
        static_cast<void>(co_await call(collector, order_method, std::move(text)));
    } catch (const std::exception&) {
        // A collector that does not hear of the order reads it from the store.
    }
}

asio::awaitable<std::string> usage_collector::on_counts(std::string text) {
    const auto message = decode_counts(text);
    const auto now = boot_clock().now();
    m_duty.heard(message.order, now);
    usage::counts_receipt receipt;
    for (const auto& entry : message.entries) {
        const auto total = m_ledger.merge(entry);
        receipt.totals[entry.key] = total;
        if (!message.relayed && total > 0) {
            m_received_directly.insert(entry.key);
        }
    }
    receipt.order = m_duty.news(now);
    co_return encode_receipt(receipt);
}

asio::awaitable<std::string> usage_collector::on_entries_request(std::string text) {
    const auto request = decode_entries_request(text);
    usage::entries_answer answer;
    answer.entries = m_ledger.missing_from(request.totals, request.window);
    answer.first_whole_window = first_whole_window();
    co_return encode_entries_answer(answer);
}

asio::awaitable<std::string> usage_collector::on_order(std::string text) {
    m_duty.heard(decode_order_news(text), boot_clock().now());
    co_return "{}";
}

asio::awaitable<std::string> usage_collector::call(const fleet::registered_instance& peer,
                                                   const char* method, std::string text) {
    return m_link.call(peer.peer_address, method, std::move(text),
                       steady_clock().now() + call_limit);
}

} // namespace oriole::entry
