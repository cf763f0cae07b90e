#pragma once

#include <utility>

#include "entry/entry_instance.h"
#include "entry/internal/background_task.h"
#include "entry/internal/fleet_state.h"
#include "entry/internal/peer_exchange.h"
#include "entry/internal/primary_changer.h"
#include "entry/internal/promotion_orders.h"
#include "entry/internal/store_follower.h"
#include "entry/internal/traffic_thread.h"
#include "entry/internal/usage_reporting.h"
#include "entry/internal/watch_schedule.h"
#include "links/admin_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace oriole::entry {

/// The thread that owns the control state: it watches the store, exchanges reports with other
/// instances, changes primaries, and publishes views of the fleet to the traffic thread. Runs on
/// the thread that calls run().
class control_thread final : public entry_instance, private links::admin_handler {
public:
    control_thread(const entry_settings& settings, entry_platform& platform, decision_log& log,
                   metric_registry& metrics);

    void run() override;

private:
    [[nodiscard]] bool ready() const override { return m_ready; }

    [[nodiscard]] std::string metrics() const override;

    [[nodiscard]] std::string status() const override { return "{}"; }

    void run_in_background(std::string name, task work);

    template <class Value>
    using page_handler = std::function<void(const store_page<Value>&, bool is_snapshot)>;

    template <class Value>
    void follow(object_collection<Value>& kind, const std::string& name,
                page_handler<Value> on_page);
    void start_followers();
    void start_usage_reporting();
    [[nodiscard]] boost::asio::awaitable<void> maintain_registration();
    [[nodiscard]] boost::asio::awaitable<bool> register_once();
    /// Waits until this instance's entry has to be written again: after `time`, or sooner when the
    /// store was restored from an older copy.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_renewal(clock::duration time);
    /// Makes up for what the restored store has lost.
    void on_store_restored();
    [[nodiscard]] boost::asio::awaitable<bool> list_instances(read_mode mode);
    /// Reads the promotion orders from the store whenever they are needed.
    [[nodiscard]] boost::asio::awaitable<void> read_orders();
    [[nodiscard]] boost::asio::awaitable<void> flush_log();
    [[nodiscard]] boost::asio::awaitable<void> wait_for_signals();
    [[nodiscard]] boost::asio::awaitable<void> leave();
    [[nodiscard]] boost::asio::awaitable<void> pause(clock::duration time);
    void on_store_health(bool reachable);
    void on_traffic(const traffic_report& report);
    void update_isolation();

    /// Whether callers are better served by instances of which this one is cut off.
    [[nodiscard]] bool cut_off() const noexcept { return m_isolated || m_alone; }

    void publish();
    /// Publishes the state and waits until the traffic thread uses it.
    [[nodiscard]] boost::asio::awaitable<void> publish_and_wait();

    entry_settings m_settings;
    decision_log& m_log;
    metric_registry& m_metrics;
    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_renewal_timer;
    watch_schedule m_watches;
    int m_watches_started = 0;
    fleet::registered_instance m_own;
    fleet_state m_fleet;
    std::unique_ptr<fleet_store> m_store;
    std::unique_ptr<promotion_authority> m_authority;
    std::shared_ptr<machines::resource_account> m_resources;
    traffic_thread m_traffic;
    peer_exchange m_peers;
    lease_revoker m_leases;
    promotion_orders m_orders;
    primary_changer m_changer;
    std::unique_ptr<usage_reporting> m_usage; ///< null where usage is not reported
    std::shared_ptr<links::admin_server> m_admin;
    fleet::fleet_view m_published;
    std::optional<clock::time_point> m_store_lost_since;
    clock::time_point m_listed_at{}; ///< when the instances were last listed
    bool m_ready = false;
    bool m_leaving = false;
    bool m_primary_failed = false;
    bool m_isolated = false; ///< this zone is cut off from the other zones and from most primaries
    /// This instance reaches no other one. It admits and runs only a small part of what its callers
    /// ask, which the others serve.
    bool m_alone = false;
};

} // namespace oriole::entry
