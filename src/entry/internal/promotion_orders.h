#pragma once

#include <utility>

#include "base/decision_log.h"
#include "entry/fleet_store.h"
#include "entry/internal/fleet_state.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace oriole::entry {

/// The last promotion order of each service, as this instance knows it and as the store holds it.
/// Not thread-safe; runs on the control thread.
class promotion_orders {
public:
    promotion_orders(boost::asio::any_io_executor executor, fleet_state& fleet, fleet_store& store,
                     decision_log& log);

    /// Fencing token of the newest order that was read or written here; 0 when there is none.
    [[nodiscard]] std::uint64_t last_fence(const service_name& service) const;

    /// The newest known order of the service, with the revision of the object that the store holds.
    /// While the store is away, an order of this instance, where the platform checks its fencing
    /// token. Throws store_unavailable.
    [[nodiscard]] boost::asio::awaitable<fleet::promotion_order> newest(service_name service);

    /// Writes an order of this instance that replaces the one with its revision. Returns it with
    /// its fencing token; nullopt when another instance has written one first. While the store is
    /// away, the order gets the token of this instance's last order, where the platform checks it.
    /// Throws store_unavailable.
    [[nodiscard]] boost::asio::awaitable<std::optional<fleet::promotion_order>>
    write(fleet::promotion_order order);

    /// Writes orders again where a restored store lacks them: those of this instance, and where
    /// leases are needed also those that it knows from others, as their holder may have ended. An
    /// instance that starts later learns the orders from the store.
    void restore_lost();

private:
    [[nodiscard]] fleet::promotion_order newest_known(const fleet::promotion_order& stored);
    /// The last order of the service if this instance wrote it and may use its fencing token while
    /// the store is away; nullptr otherwise.
    [[nodiscard]] const fleet::promotion_order* reusable(const service_name& service) const;
    /// Whether this instance knows a newer order than the given one.
    [[nodiscard]] bool superseded(const fleet::promotion_order& order) const;
    /// Writes the order again, unless the store has it or a newer one. Tries until the store
    /// answers or this instance knows a newer order.
    [[nodiscard]] boost::asio::awaitable<void> restore(fleet::promotion_order order);
    /// Returns the outcome, for the log. Throws store_unavailable.
    [[nodiscard]] boost::asio::awaitable<std::string> write_if_lost(fleet::promotion_order order);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_fleet;
    fleet_store& m_store;
    decision_log& m_log;
    std::map<service_name, fleet::promotion_order> m_last;
};

} // namespace oriole::entry
