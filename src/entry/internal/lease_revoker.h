#pragma once

#include <utility>

#include "base/decision_log.h"
#include "entry/internal/fleet_state.h"
#include "entry/internal/peer_exchange.h"
#include "fleet/lease_revocation.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>

namespace oriole::entry {

/// Makes the gateways give up their leases on a primary before another server is promoted. Not
/// thread-safe; runs on the control thread.
class lease_revoker {
public:
    lease_revoker(boost::asio::any_io_executor executor, fleet_state& fleet, peer_exchange& peers,
                  decision_log& log)
        : m_executor(std::move(executor)), m_fleet(fleet), m_peers(peers), m_log(log) {}

    /// Returns whether gateways of the service in a majority of the zones answer. Without them a
    /// promotion cannot be announced, so it should not be ordered.
    [[nodiscard]] boost::asio::awaitable<bool> reaches_majority(service_name service);

    /// Announces the promotion order to the gateways and waits until none of them uses the previous
    /// primary any more. `old_primary_stopped` returns whether that server has confirmed that it
    /// accepts no more writes. Returns false when a newer order exists, so that this one must not
    /// be carried out. Precondition: this instance knows the order.
    [[nodiscard]] boost::asio::awaitable<bool> revoke(fleet::promotion_order order,
                                                      std::function<bool()> old_primary_stopped);

private:
    [[nodiscard]] bool superseded(const fleet::promotion_order& order) const;
    [[nodiscard]] boost::asio::awaitable<void> announce(const fleet::promotion_order& order,
                                                        fleet::lease_revocation& revocation);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_fleet;
    peer_exchange& m_peers;
    decision_log& m_log;
};

} // namespace oriole::entry
