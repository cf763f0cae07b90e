#include "backend_process.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;

std::chrono::milliseconds requested_wait(const links::backend_call& call) {
    if (const auto* confirm = std::get_if<links::confirm_request>(&call)) {
        return confirm->wait;
    }
    if (const auto* fetch = std::get_if<links::fetch_request>(&call)) {
        return fetch->wait;
    }
    return std::chrono::milliseconds(0);
}

} // namespace

backend_process::backend_process(asio::io_context& context, backend_settings settings)
    : m_context(context),
      m_settings(std::move(settings)),
      m_server(m_settings.database),
      m_puller(context.get_executor(), m_server, [this] { schedule_retry(); }),
      m_statement_port(context.get_executor(), m_settings.statement_endpoint,
                       m_settings.connection_limit,
                       {[this](const connection& requester, const links::backend_request& request) {
                            handle_statement(requester, request);
                        },
                        {},
                        m_settings.connect_delay,
                        m_settings.service_time}),
      m_control_port(context.get_executor(), m_settings.control_endpoint, std::nullopt,
                     {[this](const connection& requester, links::backend_request request) {
                          handle_control(requester, std::move(request));
                      },
                      {},
                      {},
                      {}}),
      m_timer(context) {}

void backend_process::start() {
    if (m_settings.primary_of_term) {
        m_server.start_as_primary(*m_settings.primary_of_term, m_settings.members);
    }
    if (m_settings.follow) {
        connection_state initial_state;
        (void)m_server.control_call(*m_settings.follow, initial_state, steady_clock().now());
    }
    m_statement_port.start();
    m_control_port.start();
    m_puller.update_source();
    LOG(INFO) << "backend server ready name=" << m_settings.database.self
              << " statement_port=" << statement_port() << " control_port=" << control_port();
}

void backend_process::handle_statement(const connection& requester,
                                       const links::backend_request& request) {
    const auto now = steady_clock().now();
    m_server.advance(now);
    requester->send(request.id, m_server.statement_call(request.call, requester->state(), now));
    schedule_retry();
}

void backend_process::handle_control(const connection& requester, links::backend_request request) {
    const auto now = steady_clock().now();
    m_server.advance(now);
    m_server.set_connections(m_statement_port.connection_count());
    auto result = m_server.control_call(request.call, requester->state(), now);
    if (result) {
        requester->send(request.id, std::move(*result));
    } else {
        const auto deadline = now + requested_wait(request.call);
        m_waiting_calls.push_back({requester, request.id, std::move(request.call), deadline});
        schedule_timer();
    }
    schedule_retry();
}

// Schedules one retry of the waiting requests for all changes made in this iteration of the event
// loop.
void backend_process::schedule_retry() {
    schedule_timer();
    if (m_retry_posted || m_server.change_count() == m_handled_change_count) {
        return;
    }
    m_retry_posted = true;
    asio::post(m_context, [this] { retry_waiting_calls(); });
}

void backend_process::retry_waiting_calls() {
    m_retry_posted = false;
    const auto now = steady_clock().now();
    m_server.advance(now);
    m_handled_change_count = m_server.change_count();
    m_puller.update_source();
    std::erase_if(m_waiting_calls,
                  [this, now](waiting_call& waiting) { return try_answer(waiting, now); });
    schedule_timer();
}

bool backend_process::try_answer(waiting_call& waiting, clock::time_point now) {
    if (!waiting.requester->open()) {
        return true;
    }
    auto result = m_server.control_call(waiting.call, waiting.requester->state(), now);
    if (!result && waiting.deadline <= now) {
        result = m_server.expired_result(waiting.call, waiting.requester->state(), now);
    }
    if (!result) {
        return false;
    }
    waiting.requester->send(waiting.id, std::move(*result));
    return true;
}

void backend_process::schedule_timer() {
    auto next = m_server.next_event();
    for (const waiting_call& waiting : m_waiting_calls) {
        next = std::min(next.value_or(waiting.deadline), waiting.deadline);
    }
    if (!next || (m_timer_due && *m_timer_due <= *next)) {
        return;
    }
    m_timer_due = next;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            m_timer_due.reset();
            retry_waiting_calls();
        }
    });
}

} // namespace oriole::standins
