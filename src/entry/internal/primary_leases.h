#pragma once

#include "base/clock.h"
#include "entry/types/peer_report.h"
#include "fleet/primary_lease.h"
#include "fleet/role_assignment.h"
#include "fleet/types/promotion_order.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// This instance's leases on the primaries of all services, and the promotion orders that it knows.
/// Unused where a promotion ends the previous primary's lead at once. Times are of the boot clock.
/// Not thread-safe; owned by the control thread.
class primary_leases {
public:
    primary_leases(zone_name own_zone, std::size_t zone_count)
        : m_own_zone(std::move(own_zone)), m_zone_count(zone_count) {}

    /// Adds leases for those services that have none yet.
    void add_services(const std::set<service_name>& services);

    /// Records that a promotion order exists in the store. Returns true when it is the newest known
    /// order of its service.
    bool learn(const fleet::promotion_order& order);

    /// Records what an instance of `zone` confirmed when it was asked at `asked`. `roles` tells
    /// which services' leases it may confirm.
    void record_answer(const peer_report& answer, const zone_name& zone, clock::time_point asked,
                       const fleet::role_assignment& roles);

    /// Records that all orders of the store have been learned. `asked` is the time before it was
    /// asked.
    void store_read(clock::time_point asked) noexcept { m_store_read_at = asked; }

    /// Whether this instance has read the orders from the store since its start. Until then, it may
    /// not know an order that its predecessor at the same address had acknowledged.
    [[nodiscard]] bool knows_orders() const noexcept { return m_store_read_at.has_value(); }

    /// Whether the orders have to be read from the store: not yet since the start, or not since a
    /// majority of the zones was out of contact. An order may have been announced in that time, and
    /// the peers that answer now may not know it either.
    [[nodiscard]] bool needs_store_read() const noexcept;

    /// Whether this instance may confirm the leases of others: it has recently heard from a
    /// majority of the zones, and has read the store since it last was out of contact.
    [[nodiscard]] bool confirms(clock::time_point now) const;

    /// The newest known order of each service that has one, for a report.
    [[nodiscard]] std::map<service_name, reported_order> known_orders() const;

    /// Fencing token of the service's newest known order; 0 when none is known.
    [[nodiscard]] std::uint64_t order_fence(const service_name& service) const;

    /// Returns the permissions that have changed since the last call, by service.
    [[nodiscard]] std::map<service_name, fleet::primary_grant> consume_changes();

private:
    [[nodiscard]] bool heard_from_majority(clock::time_point now) const;
    [[nodiscard]] fleet::primary_lease& lease_of(const service_name& service);

    zone_name m_own_zone;
    std::size_t m_zone_count;
    std::map<service_name, fleet::primary_lease> m_leases;
    /// Time before the last request that was answered by an instance that knows the orders.
    std::map<zone_name, clock::time_point> m_heard_from;
    std::optional<clock::time_point> m_store_read_at;
    clock::time_point m_contact_regained_at{}; ///< when answers last reached a majority again
    std::set<service_name> m_changed;
};

} // namespace oriole::entry
