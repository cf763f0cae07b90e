#include "app/internal/database_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

/// How long samples of the primary's log position are kept. Older samples are not needed, since
/// the lag of a replica is at most 200 ms.
constexpr std::chrono::milliseconds position_sample_window{1000};

/// A hold of writes by another instance expires when no digest has renewed it for this long.
constexpr std::chrono::milliseconds hold_lifetime{500};

} // namespace

database_watch::database_watch(asio::any_io_executor executor, links::backend_connector& connector,
                               const clock& time, instance_id self, listener on_view,
                               watch_settings settings)
    : m_executor(std::move(executor)),
      m_clock(time),
      m_self(std::move(self)),
      m_on_view(std::move(on_view)),
      m_settings(settings),
      m_links(connector, time),
      m_round_timer(m_executor),
      m_promotion_timer(m_executor) {}

void database_watch::start() {
    spawn(run());
}

void database_watch::stop() {
    m_stopped = true;
    m_round_timer.cancel();
    m_promotion_timer.cancel();
    m_links.close();
}

void database_watch::spawn(awaitable work) {
    // The captured pointer keeps the object alive while the coroutine runs.
    const auto self = shared_from_this();
    asio::co_spawn(m_executor, std::move(work), [self](const std::exception_ptr& failure) {
        if (failure) {
            LOG(ERROR) << "background task of a database watch failed database="
                       << self->m_view.database.str();
        }
    });
}

void database_watch::set_database(watched_database database) {
    if (m_database && *m_database == database) {
        return;
    }
    m_links.set_servers(database.servers);
    m_view.database = database.definition.name();
    if (!m_detector) {
        machines::failure_detector_settings settings;
        settings.probe_interval = m_settings.probe_interval;
        m_detector = machines::make_failure_detector(m_view.database, m_self, settings);
    }
    m_database = std::move(database);
    std::erase_if(m_view.reports, [this](const auto& entry) { return !is_member(entry.first); });
    publish_view();
}

void database_watch::set_role(watch_role role) {
    m_role = std::move(role);
}

void database_watch::publish_view() {
    m_on_view(m_view);
}

boost::asio::awaitable<void> database_watch::run() {
    while (!m_stopped) {
        if (m_role.rank && m_database) {
            m_detector->round_started(m_clock.now());
            for (const auto& server : m_database->definition.servers()) {
                if (m_probes_in_progress.insert(server).second) {
                    spawn(probe(server));
                }
            }
            evaluate();
        }
        m_round_timer.expires_after(m_settings.probe_interval);
        boost::system::error_code ignored;
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        co_await m_round_timer.async_wait(token);
    }
}

boost::asio::awaitable<void> database_watch::probe(server_name server) {
    links::backend_call request = links::probe_request{};
    const auto result = co_await m_links.call(server, std::move(request), m_settings.probe_timeout);
    m_probes_in_progress.erase(server);
    if (m_stopped || !result) {
        co_return;
    }
    const auto* answer = std::get_if<links::probe_answer>(&*result);
    if (answer != nullptr && answer->server == server) {
        record_probe_answer(*answer);
        publish_view();
    }
}

void database_watch::record_probe_answer(const links::probe_answer& answer) {
    const auto now = m_clock.now();
    m_detector->answered(answer.server, now);
    machines::server_report report;
    report.server = answer.server;
    report.term = answer.term;
    report.role = answer.role;
    report.held = answer.held;
    report.applied = answer.applied;
    report.age = answer.age;
    report.received_at = now;
    record_report(report);
    const bool misdirected = answer.term < m_view.term ||
                             (answer.term == m_view.term && answer.primary != m_view.primary);
    if (misdirected && answer.server != m_view.primary) {
        m_misdirected_servers.insert(answer.server);
    } else {
        m_misdirected_servers.erase(answer.server);
    }
}

void database_watch::record_report(const machines::server_report& report) {
    auto& slot = m_view.reports[report.server];
    if (slot.server == report.server && slot.received_at >= report.received_at) {
        return;
    }
    slot = report;
    m_highest_term = std::max(m_highest_term, report.term);
    if (report.role == machines::server_role::primary) {
        adopt_primary(report.term, report.server);
    }
    if (m_view.primary != report.server) {
        return;
    }
    auto& progress = m_view.progress;
    progress.push_back({report.received_at, report.held});
    std::erase_if(progress, [&](const machines::position_sample& sample) {
        return report.received_at - sample.at > position_sample_window;
    });
}

void database_watch::adopt_primary(std::uint64_t term, const server_name& primary) {
    m_highest_term = std::max(m_highest_term, term);
    if (term < m_view.term || (term == m_view.term && m_view.primary)) {
        return;
    }
    LOG(INFO) << "primary changed, writes go there database=" << m_view.database.str()
              << " primary=" << primary.str() << " term=" << term;
    m_view.term = term;
    m_view.primary = primary;
    m_view.progress.clear();
    m_misdirected_servers.clear();
}

void database_watch::observe_term(std::uint64_t term, const std::optional<server_name>& primary) {
    m_highest_term = std::max(m_highest_term, term);
    if (primary && term > m_view.term) {
        adopt_primary(term, *primary);
        publish_view();
    }
}

machines::database_digest database_watch::digest() const {
    const auto now = m_clock.now();
    machines::database_digest digest;
    digest.database = m_view.database;
    digest.from = m_self;
    digest.term = m_view.term;
    digest.primary = m_view.primary;
    digest.highest_term = m_highest_term;
    for (const auto& [server, report] : m_view.reports) {
        const auto ago = std::chrono::ceil<std::chrono::milliseconds>(now - report.received_at);
        digest.reports.push_back({report, ago});
        digest.reports.back().report.received_at = {};
    }
    if (m_role.rank && m_detector && m_view.primary) {
        digest.evidence = m_detector->own_evidence(*m_view.primary, m_view.term, now);
    }
    digest.writes_held = m_switchover && m_view.writes_held &&
                         (m_switchover->state() == machines::switchover_state::holding ||
                          m_switchover->state() == machines::switchover_state::promoting);
    return digest;
}

void database_watch::merge(const machines::database_digest& digest) {
    if (!m_database || digest.database != m_view.database || digest.from == m_self) {
        return;
    }
    const auto now = m_clock.now();
    m_highest_term = std::max(m_highest_term, digest.highest_term);
    if (digest.primary) {
        adopt_primary(digest.term, *digest.primary);
    }
    for (const auto& relayed : digest.reports) {
        if (!is_member(relayed.report.server)) {
            continue;
        }
        auto report = relayed.report;
        report.received_at = now - relayed.received_ago;
        record_report(report);
    }
    if (digest.evidence) {
        m_detector->evidence_received(*digest.evidence, now);
    }
    if (digest.writes_held) {
        m_remote_write_holds[digest.from] = now;
    } else {
        m_remote_write_holds.erase(digest.from);
    }
    std::erase_if(m_remote_write_holds,
                  [&](const auto& hold) { return now - hold.second > hold_lifetime; });
    const bool holds_writes_itself = m_switchover && this->digest().writes_held;
    m_view.writes_held = holds_writes_itself || !m_remote_write_holds.empty();
    publish_view();
}

bool database_watch::is_member(const server_name& server) const {
    const auto& members = m_database->definition.servers();
    return std::find(members.begin(), members.end(), server) != members.end();
}

bool database_watch::in_service(const server_name& server) const {
    const auto& servers = m_database->servers;
    return std::any_of(servers.begin(), servers.end(), [&](const auto& s) {
        return s.name() == server && s.state() == service_state::in;
    });
}

std::set<server_name> database_watch::servers_in_service() const {
    std::set<server_name> in;
    for (const auto& server : m_database->servers) {
        if (server.state() == service_state::in) {
            in.insert(server.name());
        }
    }
    return in;
}

links::member_address database_watch::address_of(const server_name& server) const {
    const auto& servers = m_database->servers;
    const auto found = std::find_if(servers.begin(), servers.end(),
                                    [&](const auto& s) { return s.name() == server; });
    return {server, found == servers.end() ? endpoint{} : found->control_endpoint()};
}

void database_watch::redirect_misdirected_servers() {
    if (m_promotion || !m_view.primary) {
        return;
    }
    for (const auto& server : m_misdirected_servers) {
        spawn(redirect(server));
    }
    m_misdirected_servers.clear();
}

boost::asio::awaitable<void> database_watch::redirect(server_name server) {
    // The server itself reported that it is the primary of this term, and a term has at most one
    // primary.
    links::backend_call request = links::follow_request{m_view.term, address_of(*m_view.primary)};
    LOG(INFO) << "redirecting server to the primary database=" << m_view.database.str()
              << " server=" << server.str() << " term=" << m_view.term;
    const auto ignored = co_await m_links.call(server, std::move(request), m_settings.step_timeout);
    static_cast<void>(ignored);
}

} // namespace oriole::app
