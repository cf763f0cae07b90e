#pragma once

#include <utility>

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "entry/internal/fleet_state.h"
#include "entry/internal/lease_revoker.h"
#include "entry/internal/promotion_orders.h"
#include "entry/internal/replica_survey.h"
#include "entry/internal/server_queries.h"
#include "fleet/promotion_choice.h"
#include "routing/checked_connector.h"
#include "routing/server_channel.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace oriole::entry {

/// Changes the primary of a service: stores a promotion order, which contains the fencing token,
/// and asks the platform to promote the server with the longest log. Not thread-safe; runs on the
/// control thread.
class primary_changer {
public:
    primary_changer(boost::asio::any_io_executor executor, fleet_state& fleet,
                    promotion_orders& orders, promotion_authority& authority,
                    routing::server_connector& connector, lease_revoker& leases, decision_log& log,
                    metric_registry& metrics, std::function<void()> on_change);

    /// Starts the changes of primary that are due and not yet in progress.
    void start_due_changes(clock::time_point now);

private:
    struct step_down_result {
        bool stopped = false; ///< the old primary has confirmed that it accepts no more writes
        /// The target has received what the old primary had acknowledged, as far as that is known.
        bool caught_up = true;

        friend bool operator==(const step_down_result&, const step_down_result&) = default;
    };

    [[nodiscard]] boost::asio::awaitable<void> run(service_name service,
                                                   fleet::primary_change change);
    [[nodiscard]] boost::asio::awaitable<void> perform_change(service_name service,
                                                              fleet::primary_change change);
    /// Precondition: the order is stored, and its `holder` is this instance.
    [[nodiscard]] boost::asio::awaitable<void> promote_target(fleet::primary_change change,
                                                              fleet::promotion_order order);
    /// Makes sure that the previous primary is no longer used. Returns why the order must not be
    /// carried out, as an outcome to log; empty when it may. Precondition: leases are needed.
    [[nodiscard]] boost::asio::awaitable<std::string_view> end_leases(fleet::primary_change change,
                                                                      fleet::promotion_order order);
    /// Sends the promotion. Where leases are needed, repeats it until it is answered: an unanswered
    /// promotion may still take effect later, after that of another server. Returns nullopt when a
    /// newer order exists meanwhile.
    [[nodiscard]] boost::asio::awaitable<std::optional<promotion_result>>
    send_promotion(fleet::promotion_order order);
    [[nodiscard]] boost::asio::awaitable<std::optional<sessions::server_status>>
    query_server(server_name server, sessions::command_kind kind, std::uint64_t term,
                 clock::duration step_timeout);
    /// Returns why the primary must not be changed now, as an outcome to log; empty when it may.
    [[nodiscard]] boost::asio::awaitable<std::string_view>
    find_obstacle(const fleet::primary_change& change, const fleet::promotion_order& last);
    /// Asks the server, over a new connection, whether it is the primary.
    [[nodiscard]] boost::asio::awaitable<bool> still_leads(server_name server);
    /// Lets replicas that a change of primary has paused receive again, unless an instance has
    /// ordered a promotion since the order with the token `seen_fence`.
    [[nodiscard]] boost::asio::awaitable<void>
    resume_replicas(service_name service, fleet::primary_change change, std::uint64_t seen_fence);
    [[nodiscard]] boost::asio::awaitable<std::optional<server_name>>
    choose_target(fleet::primary_change change, fleet::promotion_order last);
    /// Whether the change is planned and the old primary still leads.
    [[nodiscard]] boost::asio::awaitable<bool> can_hand_over(const fleet::primary_change& change);
    /// Whether the order's target has every commit that the old primary has acknowledged or may
    /// still acknowledge.
    [[nodiscard]] boost::asio::awaitable<bool> has_all_commits(fleet::primary_change change,
                                                               fleet::promotion_order order,
                                                               step_down_result stepped_down);
    [[nodiscard]] boost::asio::awaitable<step_down_result>
    step_down_old_primary(service_name service, fleet::primary_change change, server_name target);
    void log_outcome(const service_name& service, std::string_view outcome);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_fleet;
    promotion_orders& m_orders;
    promotion_authority& m_authority;
    routing::checked_connector m_connector;
    server_queries m_queries;
    replica_survey m_survey;
    lease_revoker& m_leases;
    decision_log& m_log;
    metric& m_promotions;
    std::function<void()> m_on_change;
    std::set<service_name> m_changes_in_progress;
    /// Time until which a server that the platform refused to promote is not considered again.
    std::map<server_name, clock::time_point> m_refused_until;
    /// Primaries that have stepped down for a change that is not completed yet.
    std::set<server_name> m_stepped_down;
};

} // namespace oriole::entry
