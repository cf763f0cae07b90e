#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "entry/fleet_store.h"
#include "entry/internal/fleet_knowledge.h"
#include "entry/server_channel.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace oriole::entry {

/// Brings about changes of primary: takes the service's order in the store, whose revision is the
/// fence, and asks the platform to promote the server with the longest log. Not thread-safe; runs
/// on the control thread.
class primary_changer {
public:
    primary_changer(boost::asio::any_io_executor executor, fleet_knowledge& knowledge,
                    fleet_store& store, promotion_authority& authority, server_connector& connector,
                    decision_log& log, metric_registry& metrics, std::function<void()> on_change);

    /// Starts the changes that are due and not under way.
    void start_due(clock::time_point now);

private:
    struct candidate_status {
        server_name server;
        sessions::server_status status;
    };

    [[nodiscard]] boost::asio::awaitable<void> run(service_name service,
                                                   fleet::primary_change change);
    [[nodiscard]] boost::asio::awaitable<void> bring_about(service_name service,
                                                           fleet::primary_change change);
    /// Precondition: the store holds the order as this instance's.
    [[nodiscard]] boost::asio::awaitable<void> carry_out(fleet::primary_change change,
                                                         fleet::promotion_order order);
    [[nodiscard]] boost::asio::awaitable<fleet::promotion_order>
    current_order(service_name service);
    [[nodiscard]] boost::asio::awaitable<std::optional<fleet::promotion_order>>
    take_order(fleet::promotion_order order);
    [[nodiscard]] boost::asio::awaitable<std::optional<sessions::server_status>>
    ask(server_name server, sessions::server_order order);
    [[nodiscard]] boost::asio::awaitable<std::optional<server_name>>
    choose(const fleet::primary_change& change);
    [[nodiscard]] boost::asio::awaitable<void>
    step_down(service_name service, fleet::primary_change change, server_name target);

    boost::asio::any_io_executor m_executor;
    fleet_knowledge& m_knowledge;
    fleet_store& m_store;
    promotion_authority& m_authority;
    server_connector& m_connector;
    decision_log& m_log;
    metric& m_promotions;
    std::function<void()> m_on_change;
    std::set<service_name> m_running;
    std::map<service_name, fleet::promotion_order> m_orders; ///< last known ones
    std::map<server_name, clock::time_point> m_refused;      ///< by the platform, until then
};

} // namespace oriole::entry
