#include <utility>

#include "app/entry_instance.h"

#include "app/internal/audit_recorder.h"
#include "app/internal/control_plane.h"
#include "app/internal/database_report_exchange.h"
#include "app/internal/graceful_shutdown.h"
#include "app/internal/instance_shares.h"
#include "app/internal/site_config_codec.h"
#include "app/internal/status_report.h"
#include "base/process_setup.h"
#include "links/admin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <glog/logging.h>

#include <csignal>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

/// Number of random digits in an instance id, enough to make the id unique for each start.
constexpr std::size_t id_suffix_length = 12;

machines::instance describe_self(const settings& configured, random_source& random) {
    const std::string suffix = make_unique_id(random).substr(0, id_suffix_length);
    return machines::instance::builder()
        .id(instance_id{configured.instance_prefix() + "-" + suffix})
        .zone(configured.zone())
        .caller_endpoint(configured.caller())
        .admin_endpoint(configured.admin())
        .peer_endpoint(configured.peer())
        .build();
}

fleet_settings make_fleet_settings(const settings& configured) {
    fleet_settings fleet;
    fleet.seeds = configured.peers();
    return fleet;
}

links::caller_limits make_caller_limits(const settings& configured) {
    links::caller_limits limits;
    limits.max_connections = configured.max_connections();
    return limits;
}

class running_instance final : public entry_instance, public links::admin_handler {
public:
    explicit running_instance(settings configured)
        : m_settings(std::move(configured)),
          m_random(make_random_source()),
          m_self(describe_self(m_settings, *m_random)),
          m_connector(links::make_tcp_backend_connector()),
          m_platform(links::make_http_platform_link(m_settings.platform())),
          m_peers(links::make_peer_link(m_io.get_executor(), {m_settings.peer_secret()})),
          m_peer_server(links::make_peer_server(m_io.get_executor(), m_settings.peer(), "peer",
                                                {m_settings.peer_secret()})),
          m_control(m_io.get_executor(), m_self, m_settings.traffic_threads(), *m_connector,
                    m_metrics),
          m_callers(links::make_http_caller_server(m_settings.caller(),
                                                   m_control.traffic().workers(),
                                                   make_caller_limits(m_settings), m_metrics)),
          m_admin(links::make_http_admin_server(m_io.get_executor(), m_settings.admin(), *this)),
          m_fleet(make_fleet_supervisor({m_io.get_executor(), *m_platform, *m_peers, *m_peer_server,
                                         m_codec, m_control, *m_random},
                                        m_self, make_fleet_settings(m_settings))),
          m_shares({m_io.get_executor(), *m_platform, *m_peers, *m_peer_server, *m_random,
                    m_control.traffic()},
                   m_self, m_settings.traffic_threads(), m_settings.share_slots()),
          m_usage(*m_platform, *m_random, m_self),
          m_audit(m_io.get_executor(), *m_platform, *m_random, m_self.id(), m_control),
          m_database_report_exchange(
              m_io.get_executor(), m_self.id(), *m_peers, *m_peer_server,
              m_control.databases(), [this]() -> const auto& { return m_control.instances(); }),
          m_signals(m_io, SIGTERM, SIGINT, SIGHUP) {
        m_control.connect(*m_fleet, *m_callers, m_shares, m_usage);
    }

    void run() override {
        m_callers->start();
        m_admin->start();
        m_control.traffic().start();
        m_fleet->start();
        asio::co_spawn(m_io, m_control.run(), asio::detached);
        asio::co_spawn(m_io, m_database_report_exchange.run(), asio::detached);
        asio::co_spawn(m_io, m_shares.run(), asio::detached);
        asio::co_spawn(m_io, m_usage.run(), asio::detached);
        asio::co_spawn(m_io, m_audit.run(), asio::detached);
        asio::co_spawn(m_io, stop_on_signal(), asio::detached);
        LOG(INFO) << "instance started instance=" << m_self.id() << " zone=" << m_self.zone()
                  << " caller=" << m_settings.caller().str();
        const stop_signal_delivery delivery;
        m_io.run();
        m_control.stop();
        LOG(INFO) << "instance stopped instance=" << m_self.id();
    }

    [[nodiscard]] bool ready() const override {
        return !m_leaving && m_control.traffic().site() != nullptr && m_shares.is_ready();
    }

    [[nodiscard]] std::string metrics() const override { return m_metrics.exposition(); }

    [[nodiscard]] std::string status() const override {
        return make_status_report(m_self, m_control, m_leaving);
    }

private:
    [[nodiscard]] asio::awaitable<void> stop_on_signal() {
        while (co_await m_signals.async_wait(asio::use_awaitable) == SIGHUP) {
            LOG(INFO) << "settings are read at the start only; SIGHUP has no effect instance="
                      << m_self.id();
        }
        m_leaving = true;
        LOG(INFO) << "graceful shutdown started instance=" << m_self.id();
        co_await m_fleet->announce_leaving();
        const shutdown_limits limits{m_settings.drain_delay(), m_settings.drain_limit()};
        const auto open = [this] { return m_control.traffic().open_transactions(); };
        co_await drain_callers(*m_callers, open, limits);
        co_await m_shares.leave();
        // Returning the shares made the traffic threads report their last counts, which the final
        // record includes.
        co_await m_usage.write_final_record();
        co_await m_audit.finish();
        co_await m_fleet->stop();
        m_admin->stop();
        m_io.stop();
    }

    settings m_settings;
    asio::io_context m_io{1};
    metric_registry m_metrics;
    std::unique_ptr<random_source> m_random;
    machines::instance m_self;
    std::unique_ptr<links::backend_connector> m_connector;
    std::unique_ptr<links::platform_link> m_platform;
    std::unique_ptr<links::peer_link> m_peers;
    std::unique_ptr<links::peer_server> m_peer_server;
    site_config_codec m_codec;
    control_plane m_control;
    std::shared_ptr<links::caller_server> m_callers;
    std::shared_ptr<links::admin_server> m_admin;
    std::shared_ptr<fleet_supervisor> m_fleet;
    instance_shares m_shares;
    usage_reporter m_usage;
    audit_recorder m_audit;
    database_report_exchange m_database_report_exchange;
    asio::signal_set m_signals;
    bool m_leaving = false;
};

} // namespace

std::unique_ptr<entry_instance> make_entry_instance(settings configured) {
    return std::make_unique<running_instance>(std::move(configured));
}

} // namespace oriole::app
