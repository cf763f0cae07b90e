#include <utility>

#include "entry/internal/promotion_orders.h"

#include "entry/internal/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Pause after a failed attempt, because each call to the store is charged.
constexpr clock::duration failure_pause = 300ms;
/// Pause before an instance writes a lost order of another instance again: the minimum, and the
/// random part by which the instances take turns.
constexpr clock::duration min_turn_pause = 200ms;
constexpr clock::duration max_turn_pause = 800ms;

} // namespace

promotion_orders::promotion_orders(asio::any_io_executor executor, fleet_state& fleet,
                                   fleet_store& store, decision_log& log)
    : m_executor(std::move(executor)), m_fleet(fleet), m_store(store), m_log(log) {}

std::uint64_t promotion_orders::last_fence(const service_name& service) const {
    const auto known = m_last.find(service);
    return known == m_last.end() ? 0 : known->second.fence;
}

asio::awaitable<fleet::promotion_order> promotion_orders::newest(service_name service) {
    try {
        const auto stored = co_await m_store.promotion_order_of(service);
        co_return newest_known(stored);
    } catch (const store_unavailable&) {
        const auto* own = reusable(service);
        if (own == nullptr) {
            throw;
        }
        co_return *own;
    }
}

asio::awaitable<std::optional<fleet::promotion_order>>
promotion_orders::write(fleet::promotion_order order) {
    try {
        auto stored = co_await m_store.record_promotion(order);
        if (stored) {
            m_last[order.service] = *stored;
        }
        co_return stored;
    } catch (const store_unavailable&) {
        const auto* own = reusable(order.service);
        if (own == nullptr || own->fence == 0) {
            throw;
        }
        order.fence = own->fence;
        co_return order;
    }
}

void promotion_orders::restore_lost() {
    auto orders = m_fleet.orders_of_leases();
    for (const auto& [service, order] : m_last) {
        if (order.holder == m_fleet.own() && order.fence >= orders[service].fence) {
            orders[service] = order;
        }
    }
    for (const auto& [service, order] : orders) {
        asio::co_spawn(m_executor, restore(order), asio::detached);
    }
}

fleet::promotion_order promotion_orders::newest_known(const fleet::promotion_order& stored) {
    auto& last = m_last.try_emplace(stored.service, stored).first->second;
    if (stored.fence > last.fence) {
        last = stored;
    }
    auto newest = last;
    const auto reported = m_fleet.known_order(newest.service);
    if (reported.fence > newest.fence) {
        newest.holder = {};
        newest.target = reported.target;
        newest.fence = reported.fence;
    }
    newest.revision = stored.revision;
    return newest;
}

const fleet::promotion_order* promotion_orders::reusable(const service_name& service) const {
    const auto known = m_last.find(service);
    const bool own = known != m_last.end() && known->second.holder == m_fleet.own();
    // The platform refuses the promotion if there is a newer order, unless it checks no tokens.
    return own && !m_fleet.leases_needed() ? &known->second : nullptr;
}

bool promotion_orders::superseded(const fleet::promotion_order& order) const {
    return last_fence(order.service) > order.fence ||
           m_fleet.known_order(order.service).fence > order.fence;
}

asio::awaitable<void> promotion_orders::restore(fleet::promotion_order order) {
    if (order.holder != m_fleet.own()) {
        // Leaves the first attempt to the instance that wrote the order.
        co_await pause(m_executor, min_turn_pause + random_part_of(max_turn_pause));
    }
    while (!superseded(order)) {
        std::string outcome;
        bool has_answer = true;
        try {
            outcome = co_await write_if_lost(order);
        } catch (const store_unavailable& failure) {
            outcome = failure.what();
            has_answer = false;
        }
        m_log.write(log_entry("promotion_order")
                        .add("service", order.service.str())
                        .add("target", order.target.str())
                        .add("fence", order.fence)
                        .add("outcome", outcome));
        if (has_answer) {
            co_return;
        }
        co_await pause(m_executor, failure_pause);
    }
}

asio::awaitable<std::string> promotion_orders::write_if_lost(fleet::promotion_order order) {
    const auto stored = co_await m_store.promotion_order_of(order.service);
    if (stored.fence >= order.fence) {
        co_return "present";
    }
    order.revision = stored.revision;
    const auto written = co_await m_store.record_promotion(std::move(order));
    co_return written ? "written_again" : "replaced";
}

} // namespace oriole::entry
