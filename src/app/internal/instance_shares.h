#pragma once

#include "app/internal/peer_share_messenger.h"
#include "app/internal/platform_share_ledger.h"
#include "app/internal/share_supervisor.h"
#include "app/internal/thread_share_publisher.h"
#include "contracts/types/share_plan.h"
#include "site/types/site_objects.h"
#include "zones/watcher_assignment.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::app {

/// Manages this instance's shares of the accounts' rates. Passes the site, the live instances, the
/// demand at the traffic threads and the share messages of peers to the share supervisor. Used on
/// the control thread.
class instance_shares {
public:
    /// Precondition: the references outlive this object and the executor's work.
    struct dependencies {
        boost::asio::any_io_executor executor;
        links::platform_link& platform;
        links::peer_link& peers;
        links::peer_server& server;
        random_source& random;
        traffic_control& traffic;
    };

    /// Registers the handlers for share messages at the server. `slots_per_zone` is only used if no
    /// share plan is stored yet.
    instance_shares(const dependencies& provided, machines::instance self, std::size_t threads,
                    std::uint32_t slots_per_zone);

    void set_site(const site::site_objects& site);

    /// Sets the live instances. This instance may be missing from the list.
    void set_instances(const std::vector<machines::instance>& instances);

    /// Adds the weights of the requests that a traffic thread received, admitted or not.
    void add_demand(std::size_t thread, const std::map<account_name, double>& demand);

    /// Fetches the share plan, then runs the share supervisor at a fixed interval until the
    /// executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Returns all shares, for a graceful shutdown. Waits only a limited time for an unreachable
    /// receiver.
    [[nodiscard]] boost::asio::awaitable<void> leave();

    /// Whether this instance is ready to serve callers. Always true for a site without accounts,
    /// which needs no shares.
    [[nodiscard]] bool is_ready() const;

private:
    void add_methods(links::peer_server& server);
    [[nodiscard]] boost::asio::awaitable<std::optional<contracts::share_plan>> fetch_plan();
    [[nodiscard]] boost::asio::awaitable<contracts::share_plan> propose_plan();
    void create_supervisor(const contracts::share_plan& plan);
    void update_view();

    boost::asio::any_io_executor m_executor;
    links::platform_link& m_platform;
    random_source& m_random;
    machines::instance m_self;
    std::size_t m_threads;
    std::uint32_t m_slots_per_zone;
    platform_share_ledger m_store;
    peer_share_messenger m_messenger;
    thread_share_publisher m_publisher;
    std::unique_ptr<zones::watcher_assignment> m_assignment;
    std::set<zone_name> m_zones; ///< all zones of the site
    std::map<account_name, contracts::rate> m_rates;
    std::vector<machines::instance> m_instances;
    std::unique_ptr<share_supervisor> m_supervisor; ///< null until the share plan is known
};

} // namespace oriole::app
