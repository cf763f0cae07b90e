#pragma once

#include <utility>

#include "entry/internal/server_pool.h"
#include "entry/types/traffic_report.h"
#include "fleet/types/fleet_view.h"
#include "sessions/position_proofs.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::entry {

using pool_ptr = std::shared_ptr<server_pool>;

/// One database service as the traffic thread uses it: its servers, who leads, and which positions
/// were proved. Not thread-safe.
class service_traffic {
public:
    service_traffic(boost::asio::any_io_executor executor, server_connector& connector,
                    zone_name own_zone);

    /// Takes over the servers that may be used; connections to others are closed.
    void apply(const std::vector<fleet::usable_server>& servers);

    /// Whether the zone's statements usually go through this instance.
    void set_gateway(bool gateway) { m_gateway = gateway; }

    /// Another instance has handed over a statement.
    void used_as_gateway(clock::time_point now) { m_used_as_gateway = now; }

    /// Sets the pools' limits by whether this instance works for others now.
    void adjust_limits(clock::time_point now);

    /// The server that leads, if one is known and may be used.
    [[nodiscard]] pool_ptr primary() const { return m_primary; }

    /// Servers that may hold `position`, the preferred ones first: those of the own zone, then
    /// others, then those that fail or are known to lag.
    [[nodiscard]] std::vector<pool_ptr> readers(const machines::log_position& position,
                                                const account_name& account,
                                                clock::time_point now) const;

    /// The server led the service when it showed the position.
    void proved(const server_pool& server, const sessions::position_proof& proof);

    /// The server showed that its data reach the position.
    void shown(const server_pool& server, const machines::log_position& position);

    /// The server lacks the position.
    void lagging(const server_pool& server, const machines::log_position& position,
                 clock::time_point now);

    /// The server that is taken for the primary says that it does not lead.
    void not_leading(clock::time_point now);

    /// Waits until another server is taken for the primary, or until `give_up`.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_primary(clock::time_point give_up);

    [[nodiscard]] const sessions::position_proofs& proofs() const noexcept { return m_proofs; }

    /// Takes over a proof that another instance has made.
    void learn(const sessions::position_proof& proof) { m_proofs.add(proof); }

    [[nodiscard]] service_report report(clock::time_point now) const;

private:
    struct replica_progress {
        std::optional<machines::log_position> shown;
        std::optional<machines::log_position> lacked;
        clock::time_point lacked_at{};
    };

    /// Lower is better.
    [[nodiscard]] int preference(const server_pool& pool, const machines::log_position& position,
                                 const account_name& account, clock::time_point now) const;
    void wake_waiting();

    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    zone_name m_own_zone;
    std::map<server_name, pool_ptr> m_pools;
    std::map<server_name, fleet::connection_allotment> m_allotments;
    bool m_gateway = true;
    std::optional<clock::time_point> m_used_as_gateway;
    std::map<server_name, replica_progress> m_progress;
    pool_ptr m_primary;
    std::optional<clock::time_point> m_not_leading_since;
    server_name m_proved;
    sessions::position_proofs m_proofs;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
};

} // namespace oriole::entry
