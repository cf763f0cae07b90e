#include <utility>

#include "entry/internal/control_thread.h"

#include "base/process_setup.h"
#include "base/random_source.h"
#include "entry/internal/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr clock::duration flush_interval = 200ms;
constexpr clock::duration registration_retry = 500ms;
/// Within this time, one of the watches of the store ends. A change has to be in force within 3 s,
/// which includes the time-out of the call that shows that connections have gone silent, and the
/// time for the other instances to learn of the change.
constexpr clock::duration watch_interval = 1500ms;
/// Configurations, servers and evacuations.
constexpr int store_watches = 3;
/// After a restore of the store, the instances register again within this time for each of them, so
/// that a large fleet stays below the store's limit of calls.
constexpr clock::duration reregistration_time_per_instance = 5ms;
/// Interval at which the instance checks whether it has to read the promotion orders.
constexpr clock::duration orders_check_interval = 100ms;
/// Minimum time between two requests for the list of instances, which limits the load on the store
/// when many instances start at once.
constexpr clock::duration relist_interval = 900ms;
/// Minimum time without an answer from the store that counts as an outage. After an outage, servers
/// whose entries were removed get a grace period to register again.
constexpr clock::duration min_outage = 700ms;
/// Time limit for removing this instance's entry from the store at shutdown, which happens after
/// the last session has ended and within the stop grace period.
constexpr clock::duration deregistration_limit = 200ms;

fleet::registered_instance make_own(const entry_settings& settings) {
    fleet::registered_instance own;
    own.id = settings.instance;
    own.zone = settings.zone;
    own.peer_address = settings.peers;
    own.gateway_address = settings.gateway;
    own.capacity = settings.capacity;
    own.incarnation = make_random_source()->next() >> 1U;
    return own;
}

} // namespace

control_thread::control_thread(const entry_settings& settings, entry_platform& platform,
                               decision_log& log, metric_registry& metrics)
    : m_settings(settings),
      m_log(log),
      m_metrics(metrics),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_renewal_timer(m_io),
      m_watches(watch_interval, store_watches, steady_clock().now()),
      m_own(make_own(settings)),
      m_fleet(m_own, log,
              settings.fenced_promotions ? fleet::primary_leasing::not_needed
                                         : fleet::primary_leasing::needed,
              settings.zones.size()),
      m_store(platform.make_store(m_io.get_executor())),
      m_authority(platform.make_authority(m_io.get_executor())),
      m_resources(platform.resources()),
      m_traffic(
          settings, platform, log, metrics,
          [this](traffic_report report) {
              asio::post(m_io, [this, moved = std::move(report)] { on_traffic(moved); });
          },
          m_resources),
      m_peers(
          m_io.get_executor(), m_fleet, settings.peers, log, metrics,
          [this] { return publish_and_wait(); }, m_resources),
      m_leases(m_io.get_executor(), m_fleet, m_peers, log),
      m_orders(m_io.get_executor(), m_fleet, *m_store, log),
      m_changer(m_io.get_executor(), m_fleet, m_orders, *m_authority, platform.connector(),
                m_leases, log, metrics,
                [this] {
                    // The other electors, which decide with this instance on primary changes, need
                    // the age of the new promotion order.
                    m_peers.exchange_with_all();
                    publish();
                }),
      m_usage(settings.usage ? std::make_unique<usage_reporting>(
                                   m_io.get_executor(), *settings.usage, m_own, m_fleet, m_peers,
                                   m_store->usage_orders(),
                                   platform.make_usage_authority(m_io.get_executor()), log, metrics)
                             : nullptr),
      m_admin(
          links::make_http_admin_server(m_io.get_executor(), settings.admin, *this, m_resources)) {}

void control_thread::run() {
    m_admin->start();
    m_traffic.start();
    m_log.write(log_entry("start")
                    .add("instance", m_own.id.str())
                    .add("zone", m_own.zone.str())
                    .add("incarnation", m_own.incarnation)
                    .add("version", ORIOLE_VERSION));
    const stop_signal_delivery delivery;
    start_followers();
    run_in_background("registration", [this] { return maintain_registration(); });
    if (m_fleet.leases_needed()) {
        run_in_background("promotion_orders", [this] { return read_orders(); });
    }
    run_in_background("peer_reports", [this] { return m_peers.run(); });
    start_usage_reporting();
    run_in_background("log", [this] { return flush_log(); });
    run_in_background("signals", [this] { return wait_for_signals(); });
    run_event_loop(m_io, m_log, "control_thread");
    m_log.write(log_entry("stop").add("instance", m_own.id.str()));
    m_log.flush();
}

std::string control_thread::metrics() const {
    m_metrics.get("oriole_log_lines_dropped_total").set(static_cast<std::int64_t>(m_log.dropped()));
    return m_metrics.exposition();
}

void control_thread::run_in_background(std::string name, task work) {
    run_task(m_io.get_executor(), m_log, std::move(name), std::move(work));
}

template <class Value>
void control_thread::follow(object_collection<Value>& kind, const std::string& name,
                            page_handler<Value> on_page) {
    const int watch = m_watches_started++;
    typename store_follower<Value>::handlers handlers;
    handlers.on_page = std::move(on_page);
    handlers.on_health = [this](bool reachable) { on_store_health(reachable); };
    handlers.wanted = [this] { return m_fleet.watches_store(steady_clock().now()); };
    handlers.watch_wait = [this, watch] { return m_watches.wait(watch, steady_clock().now()); };
    handlers.on_silence = [this] { m_store->cancel_waits(); };
    auto follower = std::make_shared<store_follower<Value>>(m_io.get_executor(), kind, name, m_log,
                                                            std::move(handlers));
    run_in_background("store_" + name, [follower] { return follower->run(); });
}

void control_thread::start_followers() {
    follow<fleet::configuration>(
        m_store->configurations(), "configuration",
        [this](const store_page<fleet::configuration>& page, bool) {
            for (const auto& object : page.objects) {
                if (!object.value) {
                    m_log.write(log_entry("configuration")
                                    .add("revision", to_string(object.revision))
                                    .add("outcome", "unreadable"));
                    continue;
                }
                for (const auto& name : object.value->unusable_names) {
                    m_log.write(log_entry("configuration")
                                    .add("revision", to_string(object.revision))
                                    .add("name", name)
                                    .add("outcome", "name_unusable"));
                }
                m_fleet.update_configuration(
                    std::make_shared<const fleet::configuration>(*object.value), object.revision,
                    "store");
            }
            publish();
        });
    follow<fleet::registered_server>(
        m_store->servers(), "servers",
        [this](const store_page<fleet::registered_server>& page, bool is_snapshot) {
            m_fleet.update_servers(page, is_snapshot, steady_clock().now());
            publish();
        });
    follow<evacuation>(m_store->evacuations(), "evacuations",
                       [this](const store_page<evacuation>& page, bool is_snapshot) {
                           m_fleet.update_evacuations(page, is_snapshot, steady_clock().now());
                           publish();
                       });
}

void control_thread::start_usage_reporting() {
    if (m_usage == nullptr) {
        return;
    }
    run_in_background("usage_delivery",
                      [this] { return m_usage->collector().deliver_regularly(); });
    run_in_background("usage_relay", [this] { return m_usage->collector().relay_regularly(); });
    run_in_background("usage_reports", [this] { return m_usage->reporter().run(); });
}

asio::awaitable<void> control_thread::maintain_registration() {
    while (!m_leaving) {
        const bool registered = co_await register_once();
        const bool first = !m_published.ready;
        const bool listed = registered && co_await list_instances(first ? read_mode::newest
                                                                        : read_mode::allow_stale);
        co_await wait_for_renewal(listed ? m_fleet.renewal_interval() : registration_retry);
    }
}

asio::awaitable<void> control_thread::wait_for_renewal(clock::duration time) {
    m_renewal_timer.expires_after(time);
    boost::system::error_code ended_early;
    co_await m_renewal_timer.async_wait(asio::redirect_error(asio::use_awaitable, ended_early));
    if (ended_early) {
        // All instances register again after a restore. The random pause spreads their calls.
        const auto instances = static_cast<int>(m_fleet.peers().size()) + 1;
        co_await pause(random_part_of(reregistration_time_per_instance * instances));
    }
}

void control_thread::on_store_restored() {
    const auto now = steady_clock().now();
    m_fleet.store_reconnected(now);
    // A watch of the earlier era may wait for a revision that the store reaches only much later.
    m_store->cancel_waits();
    m_renewal_timer.cancel();
    m_orders.restore_lost();
}

asio::awaitable<bool> control_thread::register_once() {
    ++m_own.heartbeats;
    try {
        co_await m_store->register_instance(m_own);
        co_return true;
    } catch (const store_unavailable& failure) {
        m_log.write(
            log_entry("registration").add("outcome", "failed").add("reason", failure.what()));
        co_return false;
    }
}

asio::awaitable<bool> control_thread::list_instances(read_mode mode) {
    m_listed_at = steady_clock().now();
    try {
        const auto page = co_await m_store->instances().list(mode);
        m_fleet.update_instances(page, steady_clock().now());
        publish();
        co_return true;
    } catch (const store_unavailable& failure) {
        m_log.write(
            log_entry("instances").add("outcome", "not_listed").add("reason", failure.what()));
        co_return false;
    }
}

asio::awaitable<void> control_thread::read_orders() {
    while (true) {
        if (!m_fleet.needs_orders()) {
            co_await pause(orders_check_interval);
            continue;
        }
        try {
            const auto asked = boot_clock().now();
            const auto page = co_await m_store->promotions().list(read_mode::newest);
            m_fleet.learn_orders(page, asked);
            publish();
            continue;
        } catch (const store_unavailable& failure) {
            m_log.write(log_entry("promotion_orders")
                            .add("outcome", "not_listed")
                            .add("reason", failure.what()));
        }
        co_await pause(registration_retry);
    }
}

asio::awaitable<void> control_thread::flush_log() {
    while (true) {
        co_await pause(flush_interval);
        m_log.flush();
        const bool may_list = steady_clock().now() - m_listed_at > relist_interval;
        if (may_list && m_fleet.consume_unlisted()) {
            co_await list_instances(read_mode::allow_stale);
        }
    }
}

asio::awaitable<void> control_thread::wait_for_signals() {
    int signal = co_await m_signals.async_wait(asio::use_awaitable);
    while (signal == SIGHUP) {
        // SIGHUP changes nothing: the settings are names and addresses, which cannot change at run
        // time.
        m_log.write(log_entry("reload").add("outcome", "unchanged"));
        signal = co_await m_signals.async_wait(asio::use_awaitable);
    }
    m_log.write(log_entry("stop_requested").add("signal", signal));
    m_leaving = true;
    publish();
    m_traffic.leave([this] {
        asio::post(m_io, [this] { run_in_background("leaving", [this] { return leave(); }); });
    });
}

asio::awaitable<void> control_thread::leave() {
    m_peers.announce_leaving();
    if (m_usage != nullptr) {
        m_usage->collector().deliver_all();
    }
    asio::co_spawn(
        m_io,
        [this]() -> asio::awaitable<void> {
            try {
                co_await m_store->remove_instance(m_own.id);
            } catch (const store_unavailable& failure) {
                m_log.write(log_entry("registration")
                                .add("outcome", "not_removed")
                                .add("reason", failure.what()));
            }
            m_io.stop();
        },
        asio::detached);
    co_await pause(deregistration_limit);
    m_io.stop();
}

asio::awaitable<void> control_thread::pause(clock::duration time) {
    asio::steady_timer timer(m_io, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void control_thread::on_store_health(bool reachable) {
    const auto now = steady_clock().now();
    if (!reachable) {
        if (!m_store_lost_since) {
            m_store_lost_since = now;
        }
        return;
    }
    if (m_store_lost_since && now - *m_store_lost_since > min_outage) {
        m_fleet.store_reconnected(now);
    }
    m_store_lost_since.reset();
}

void control_thread::on_traffic(const traffic_report& report) {
    const auto now = steady_clock().now();
    m_fleet.record_traffic(report);
    if (m_usage != nullptr) {
        m_usage->collector().add_runs(report.runs);
    }
    const bool any_failing = m_fleet.any_primary_failing();
    if (any_failing && !m_primary_failed) {
        m_peers.exchange_with_all();
    }
    m_primary_failed = any_failing;
    update_isolation();
    if (!m_isolated) {
        // In an isolated zone, healthy primaries of other zones appear to have failed, so they must
        // not be replaced from here.
        m_changer.start_due_changes(now);
    }
    publish();
}

void control_thread::update_isolation() {
    const auto now = steady_clock().now();
    const bool was_cut_off = cut_off();
    // While isolated, clients are sent to other zones, so no statement here would show that the
    // primaries are reachable again. Therefore m_isolated keeps the state until another zone
    // answers.
    // If connections to all instances of the other zones are refused, they may have ended, or a
    // partition refuses the connections. The store tells which: a partition cuts it off too.
    const auto& reachability = m_peers.reachability();
    const bool store_lost = m_store_lost_since.has_value();
    const bool lost_report_peers =
        reachability.lost_report_peers(m_fleet.report_peers()).value_or(m_isolated && store_lost);
    const bool lost_other_zones =
        lost_report_peers || (store_lost && reachability.lost_other_zones(now));
    const bool isolated = m_fleet.zone_isolated(now).value_or(
        lost_other_zones && (m_isolated || m_fleet.most_primaries_failing(now)));
    if (isolated != m_isolated) {
        m_isolated = isolated;
        m_fleet.set_isolated(isolated);
        m_log.write(log_entry("isolation")
                        .add("zone", m_own.zone.str())
                        .add("outcome", isolated ? "isolated" : "connected"));
    }
    const bool alone = reachability.lost_all(now);
    if (alone != m_alone) {
        m_alone = alone;
        m_log.write(log_entry("isolation")
                        .add("instance", m_own.id.str())
                        .add("outcome", alone ? "alone" : "connected"));
    }
    if (cut_off() != was_cut_off) {
        m_traffic.set_isolated(cut_off());
    }
}

void control_thread::publish() {
    const auto now = steady_clock().now();
    if (m_fleet.consume_store_restored()) {
        on_store_restored();
    }
    static_cast<void>(m_fleet.advance(now));
    if (m_fleet.consume_roles_changed()) {
        m_peers.exchange_with_all();
    }
    for (const auto& [service, proof] : m_fleet.consume_proofs()) {
        m_traffic.add_peer_proof(service, proof);
    }
    for (auto& [service, lease] : m_fleet.consume_leases()) {
        m_traffic.set_lease(service, lease);
    }
    auto view = m_fleet.make_view(now);
    const bool was_ready = m_ready;
    m_ready = view.ready && !m_leaving && !cut_off();
    if (m_ready != was_ready) {
        m_log.write(log_entry("readiness").add("outcome", m_ready ? "ready" : "not_ready"));
    }
    if (view == m_published) {
        return;
    }
    m_published = view;
    m_traffic.apply(std::make_shared<const fleet::fleet_view>(std::move(view)));
}

asio::awaitable<void> control_thread::publish_and_wait() {
    publish();
    auto applied = std::make_shared<asio::steady_timer>(m_io, clock::time_point::max());
    m_traffic.notify_when_applied(
        [this, applied] { asio::post(m_io, [applied] { applied->cancel(); }); });
    boost::system::error_code ignored;
    co_await applied->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::unique_ptr<entry_instance> make_entry_instance(const entry_settings& settings,
                                                    entry_platform& platform, decision_log& log,
                                                    metric_registry& metrics) {
    return std::make_unique<control_thread>(settings, platform, log, metrics);
}

} // namespace oriole::entry
