#include <utility>

#include "entry/internal/traffic_thread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Interval of the reports to the control thread, which limits the delay until it notices a lost
/// primary. One message per statement would cost more.
constexpr clock::duration report_interval = 100ms;
/// Time until the load balancer sends no more clients: it checks readiness once a second and
/// removes an instance after two failed checks.
constexpr clock::duration load_balancer_delay = 2200ms;
/// Sessions are ended in groups, one group per interval, so that the other instances do not receive
/// all the reconnects at once.
constexpr clock::duration end_interval = 50ms;
constexpr int end_groups = 16;
/// Remaining part of the stop grace period at which statements that still run are answered without
/// their result. It leaves the clients time to read the answers and to close their connections
/// before forced_close_margin.
constexpr clock::duration unfinished_answer_margin = 550ms;
/// Remaining part of the stop grace period at which the sessions are closed even if they are busy.
constexpr clock::duration forced_close_margin = 400ms;

} // namespace

traffic_thread::traffic_thread(const entry_settings& settings, entry_platform& platform,
                               decision_log& log, metric_registry& metrics,
                               report_handler on_report,
                               std::shared_ptr<machines::resource_account> resources)
    : m_settings(settings),
      m_log(log),
      m_work(m_io.get_executor()),
      m_context(m_io.get_executor(), platform.connector(), settings, log, metrics,
                std::move(resources)),
      m_gateway(m_io.get_executor(), settings.gateway, m_context),
      m_listener(platform.make_listener(m_io.get_executor(), settings.callers)),
      m_on_report(std::move(on_report)),
      m_open_sessions(metrics.get("oriole_open_sessions")) {}

traffic_thread::~traffic_thread() {
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void traffic_thread::start() {
    m_listener->start(
        [this](std::shared_ptr<caller_channel> channel) { serve(std::move(channel)); });
    run_in_background("traffic_report", [this] { return report_regularly(); });
    run_in_background("idle_transactions", [this] { return m_gateway.end_idle_transactions(); });
    m_thread = std::thread([this] { run_event_loop(m_io, m_log, "traffic_thread"); });
}

void traffic_thread::apply(std::shared_ptr<const fleet::fleet_view> view) {
    asio::post(m_io,
               [this, moved = std::move(view)]() mutable { m_context.apply(std::move(moved)); });
}

void traffic_thread::add_peer_proof(service_name service, sessions::position_proof proof) {
    asio::post(m_io,
               [this, name = std::move(service), proof] { m_context.add_peer_proof(name, proof); });
}

void traffic_thread::set_lease(service_name service, fleet::primary_grant lease) {
    asio::post(m_io, [this, name = std::move(service), moved = std::move(lease)]() mutable {
        m_context.set_lease(name, std::move(moved));
    });
}

void traffic_thread::notify_when_applied(std::function<void()> on_applied) {
    asio::post(m_io, std::move(on_applied));
}

void traffic_thread::set_isolated(bool isolated) {
    asio::post(m_io, [this, isolated] {
        m_isolated = isolated;
        if (isolated) {
            run_in_background("isolation", [this] { return close_idle_while_isolated(); });
        }
    });
}

void traffic_thread::leave(std::function<void()> on_end) {
    asio::post(m_io, [this, done = std::move(on_end)]() mutable {
        run_in_background("closing_sessions",
                          [this, moved = std::move(done)] { return close_sessions(moved); });
    });
}

void traffic_thread::run_in_background(std::string name, task work) {
    run_task(m_io.get_executor(), m_log, std::move(name), std::move(work));
}

void traffic_thread::serve(std::shared_ptr<caller_channel> channel) {
    auto session = std::make_shared<caller_service>(m_context, std::move(channel));
    session->open_account();
    const auto position = m_sessions.insert(m_sessions.end(), session);
    m_open_sessions.add();
    asio::co_spawn(
        m_io, [session] { return session->serve(); },
        [this, position](const std::exception_ptr& failure) {
            m_sessions.erase(position);
            m_open_sessions.add(-1);
            if (failure) {
                std::rethrow_exception(failure);
            }
        });
}

asio::awaitable<void> traffic_thread::report_regularly() {
    while (true) {
        co_await pause(report_interval);
        for (const auto& session : open_sessions()) {
            session->account_unread();
        }
        m_on_report(m_context.collect_report());
    }
}

asio::awaitable<void> traffic_thread::close_sessions(std::function<void()> on_end) {
    const auto started = steady_clock().now();
    m_gateway.leave();
    co_await pause(std::min(load_balancer_delay, m_settings.stop_grace / 2));
    const std::size_t group = open_sessions().size() / end_groups + 1;
    bool listening = true;
    bool answered_all = false; // in an earlier round
    while (true) {
        const auto elapsed = steady_clock().now() - started;
        const auto sessions = open_sessions();
        const bool all_closed = std::all_of(sessions.begin(), sessions.end(),
                                            [](const auto& known) { return known->closed(); });
        const bool all_ended = all_closed && m_gateway.idle();
        // After a round that comes late, because the process was not scheduled, there is one more
        // in which the unfinished statements are answered.
        const bool time_over = elapsed > m_settings.stop_grace - forced_close_margin;
        if ((all_ended && !listening) || (time_over && answered_all)) {
            break;
        }
        if (all_ended) {
            // A connection may have been accepted meanwhile; its session starts in this turn of the
            // event loop, and the next round waits for its end.
            m_listener->stop();
            listening = false;
        }
        if (elapsed > m_settings.stop_grace / 2) {
            // Without instances in rotation, the load balancer uses this one again. A session that
            // starts now might not end in time.
            m_listener->stop();
            listening = false;
            for (const auto& session : sessions) {
                session->end_transactions();
            }
            m_gateway.abort_transactions();
        }
        if (elapsed > m_settings.stop_grace - unfinished_answer_margin) {
            for (const auto& session : sessions) {
                session->end_now();
            }
            m_gateway.withdraw_waiting();
            m_context.refuse_waiting();
            answered_all = true;
        }
        end_next(sessions, group);
        co_await pause(end_interval);
    }
    m_listener->stop();
    m_on_report(m_context.collect_report());
    on_end();
}

asio::awaitable<void> traffic_thread::close_idle_while_isolated() {
    co_await pause(load_balancer_delay);
    const std::size_t group = m_sessions.size() / end_groups + 1;
    while (m_isolated) {
        close_quiet(group);
        co_await pause(end_interval);
    }
}

void traffic_thread::end_next(const std::vector<std::shared_ptr<caller_service>>& sessions,
                              std::size_t max_sessions) {
    const auto now = steady_clock().now();
    std::size_t told = 0;
    for (const auto& session : sessions) {
        if (told < max_sessions && !session->ending()) {
            session->end_soon();
            ++told;
        }
        if (session->ending()) {
            session->close_if_quiet(now);
        }
    }
}

void traffic_thread::close_quiet(std::size_t max_sessions) {
    const auto now = steady_clock().now();
    std::size_t closed = 0;
    for (const auto& session : open_sessions()) {
        if (closed < max_sessions && session->close_if_quiet(now)) {
            ++closed;
        }
    }
}

asio::awaitable<void> traffic_thread::pause(clock::duration time) {
    asio::steady_timer timer(m_io, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::vector<std::shared_ptr<caller_service>> traffic_thread::open_sessions() {
    std::vector<std::shared_ptr<caller_service>> sessions;
    for (const auto& known : m_sessions) {
        if (auto session = known.lock()) {
            sessions.push_back(std::move(session));
        }
    }
    return sessions;
}

} // namespace oriole::entry
