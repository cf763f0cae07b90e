// Promotions and planned switchovers of database_watch.
#include "app/internal/database_watch.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using machines::promotion_state;

constexpr std::size_t max_timelines = 16;

/// Converts a server's answer into an event for the promotion. An unexpected answer is treated
/// like no answer.
machines::promotion_event to_event(const machines::promotion_action& action,
                                   const std::optional<links::backend_result>& result) {
    if (!result) {
        return machines::server_unresponsive{action.server, action.term};
    }
    if (const auto* refusal = std::get_if<links::refusal_answer>(&*result)) {
        LOG(INFO) << "server refused a promotion request server=" << action.server.str()
                  << " term=" << action.term << " accepted_term=" << refusal->term;
        return machines::server_refused{action.server, action.term, refusal->term};
    }
    if (const auto* fenced = std::get_if<links::fence_answer>(&*result)) {
        return machines::server_fenced{action.server, fenced->term, fenced->held};
    }
    const auto* accepted = std::get_if<links::accepted_answer>(&*result);
    if (accepted == nullptr) {
        return machines::server_unresponsive{action.server, action.term};
    }
    if (action.request == machines::promotion_request::promote) {
        return machines::server_promoted{action.server, action.term};
    }
    return machines::server_follows{action.server, action.term};
}

} // namespace

void database_watch::evaluate() {
    if (m_promotion) {
        return;
    }
    redirect_misdirected_servers();
    if (m_switchover) {
        return advance_switchover();
    }
    const auto now = m_clock.now();
    const auto reason = promotion_reason();
    if (reason.empty()) {
        m_promotion_reason_since.reset();
        return start_switchover_if_needed();
    }
    if (!m_promotion_reason_since || m_promotion_reason != reason) {
        m_promotion_reason_since = now;
        m_promotion_reason = reason;
    }
    const bool failed = reason == "primary silent";
    auto delay = m_settings.rank_delay * static_cast<int>(*m_role.rank);
    delay += failed ? std::chrono::milliseconds(0) : m_settings.repair_delay;
    if (now - *m_promotion_reason_since < delay) {
        return;
    }
    auto preferred = servers_in_service();
    if (!failed && m_view.primary && preferred.contains(*m_view.primary)) {
        preferred = {*m_view.primary};
    }
    begin_promotion(reason, std::move(preferred));
}

std::string database_watch::promotion_reason() const {
    if (!is_majority_reachable()) {
        return "";
    }
    const auto now = m_clock.now();
    if (!m_view.primary) {
        return "no primary";
    }
    if (m_detector->failed(*m_view.primary, m_view.term, m_role.watchers, now)) {
        return "primary silent";
    }
    return has_server_ahead_of_primary() ? "server at a higher term than the primary" : "";
}

bool database_watch::is_majority_reachable() const {
    // Without a majority a promotion cannot succeed, and its fencing would leave the reachable
    // servers at a new term without a primary.
    const auto now = m_clock.now();
    const auto heard =
        std::count_if(m_view.reports.begin(), m_view.reports.end(), [&](const auto& entry) {
            return now - entry.second.received_at < m_settings.reachability_window;
        });
    return static_cast<std::size_t>(heard) >= m_database->definition.majority();
}

bool database_watch::has_server_ahead_of_primary() const {
    // A server has a higher term than the primary when the instance that promoted failed after
    // fencing. Such a server can neither confirm writes nor follow the primary until a promotion
    // at a still higher term includes it.
    return std::any_of(m_view.reports.begin(), m_view.reports.end(),
                       [this](const auto& entry) { return entry.second.term > m_view.term; });
}

void database_watch::begin_promotion(std::string reason, std::set<server_name> preferred) {
    machines::promotion_plan plan;
    const auto& members = m_database->definition.servers();
    plan.members = {members.begin(), members.end()};
    plan.term = ++m_highest_term;
    plan.preferred = std::move(preferred);
    m_promotion = machines::make_promotion(plan);
    m_promotion_started = m_clock.now();
    m_promotion_reason_since.reset();
    LOG(WARNING) << "promotion started, writes wait for its end database=" << m_view.database.str()
                 << " term=" << plan.term << " reason=\"" << reason << "\"";
    machines::promotion_timeline timeline;
    timeline.database = m_view.database;
    timeline.reason = std::move(reason);
    timeline.term = plan.term;
    timeline.started = std::chrono::system_clock::now();
    m_timelines.push_back(std::move(timeline));
    if (m_timelines.size() > max_timelines) {
        m_timelines.pop_front();
    }
    spawn(run_promotion(m_promotion, plan.term));
}

boost::asio::awaitable<void>
database_watch::run_promotion(std::shared_ptr<machines::promotion> machine, std::uint64_t term) {
    const auto first = machine->start();
    record_milestone(machine->state());
    dispatch(machine, first);
    while (!m_stopped && machine == m_promotion) {
        const auto state = machine->state();
        const bool fencing = state == promotion_state::fencing;
        m_promotion_timer.expires_after(fencing ? m_settings.fencing_timeout
                                                : m_settings.promoting_timeout);
        boost::system::error_code woken;
        auto token = asio::redirect_error(asio::use_awaitable, woken);
        co_await m_promotion_timer.async_wait(token);
        if (!woken && machine == m_promotion) {
            handle_promotion_event(machine, machines::promotion_timeout{state, term});
        }
    }
}

void database_watch::dispatch(const std::shared_ptr<machines::promotion>& machine,
                              const std::vector<machines::promotion_action>& actions) {
    for (const auto& action : actions) {
        spawn(run_action(machine, action));
    }
}

boost::asio::awaitable<void>
database_watch::run_action(std::shared_ptr<machines::promotion> machine,
                           machines::promotion_action action) {
    const auto sent_at = m_clock.now();
    auto request = make_promotion_request(action);
    const auto result =
        co_await m_links.call(action.server, std::move(request), m_settings.step_timeout);
    if (!result) {
        // A refused connection fails immediately, so wait for the rest of the step time-out before
        // the request is sent again.
        asio::steady_timer retry_timer(m_executor);
        retry_timer.expires_after(sent_at + m_settings.step_timeout - m_clock.now());
        boost::system::error_code ignored;
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        co_await retry_timer.async_wait(token);
    }
    if (!m_stopped && machine == m_promotion) {
        handle_promotion_event(machine, to_event(action, result));
    }
}

void database_watch::handle_promotion_event(const std::shared_ptr<machines::promotion>& machine,
                                            const machines::promotion_event& event) {
    const auto before = machine->state();
    const auto actions = machine->handle(event);
    const auto after = machine->state();
    if (after != before) {
        record_milestone(after);
        m_promotion_timer.cancel();
    }
    const bool promoted = after == promotion_state::redirecting || after == promotion_state::done;
    if (promoted && after != before) {
        // Writes can be sent to the new primary now. They are confirmed once a replica follows it.
        adopt_primary(m_timelines.back().term, *machine->chosen());
        publish_view();
    }
    dispatch(machine, actions);
    if (after == promotion_state::done || after == promotion_state::failed) {
        end_promotion(*machine);
    }
}

void database_watch::record_milestone(promotion_state state) {
    auto& timeline = m_timelines.back();
    const auto after = m_clock.now() - m_promotion_started;
    timeline.milestones.push_back(
        {state, std::chrono::duration_cast<std::chrono::milliseconds>(after)});
    timeline.primary = m_promotion->chosen();
}

void database_watch::end_promotion(const machines::promotion& machine) {
    m_highest_term = std::max(m_highest_term, machine.highest_term());
    const auto took = m_timelines.back().milestones.back().after;
    LOG(WARNING) << "promotion ended database=" << m_view.database.str()
                 << " term=" << m_timelines.back().term << " state=" << to_string(machine.state())
                 << " ms=" << took.count();
    const auto end = machine.state();
    m_promotion.reset();
    if (m_switchover) {
        run_switchover_action(m_switchover->promotion_ended(end));
    }
}

links::backend_call
database_watch::make_promotion_request(const machines::promotion_action& action) const {
    switch (action.request) {
    case machines::promotion_request::fence:
        return links::fence_request{action.term, m_self.str()};
    case machines::promotion_request::promote: {
        links::promote_request request{action.term, m_self.str(), {}};
        for (const auto& server : m_database->definition.servers()) {
            request.members.push_back(address_of(server));
        }
        return request;
    }
    case machines::promotion_request::follow:
        return links::follow_request{action.term, address_of(action.primary)};
    }
    return links::probe_request{};
}

void database_watch::start_switchover_if_needed() {
    const auto now = m_clock.now();
    if (!m_view.primary || in_service(*m_view.primary) || m_role.rank != std::size_t{0} ||
        now < m_next_switchover) {
        return;
    }
    m_switchover_target = switchover_target();
    if (!m_switchover_target) {
        return;
    }
    LOG(INFO) << "planned switchover started, writes are held database=" << m_view.database.str()
              << " target=" << m_switchover_target->str();
    m_next_switchover = now + m_settings.switchover_retry_interval;
    m_last_primary_position = {};
    m_switchover = machines::make_switchover();
    run_switchover_action(m_switchover->start(now));
}

std::optional<server_name> database_watch::switchover_target() const {
    std::optional<server_name> best;
    for (const auto& server : servers_in_service()) {
        const auto report = m_view.reports.find(server);
        if (report == m_view.reports.end() || report->second.term != m_view.term) {
            continue;
        }
        if (!best || m_view.reports.at(*best).held < report->second.held) {
            best = server;
        }
    }
    return best;
}

void database_watch::advance_switchover() {
    const auto now = m_clock.now();
    if (m_detector->failed(*m_view.primary, m_view.term, m_role.watchers, now)) {
        return run_switchover_action(m_switchover->primary_failed());
    }
    const auto primary = m_view.reports.find(*m_view.primary);
    const auto target = m_view.reports.find(*m_switchover_target);
    if (primary != m_view.reports.end() && target != m_view.reports.end()) {
        const auto position = primary->second.held;
        const bool steady = position == m_last_primary_position;
        m_last_primary_position = position;
        run_switchover_action(
            m_switchover->update_positions(position, target->second.held, steady));
    }
    if (m_switchover) {
        run_switchover_action(m_switchover->tick(now));
    }
}

void database_watch::run_switchover_action(machines::switchover_action action) {
    switch (action) {
    case machines::switchover_action::none:
        return;
    case machines::switchover_action::hold_writes:
        m_view.writes_held = true;
        return publish_view();
    case machines::switchover_action::start_promotion:
        return begin_promotion("planned", {*m_switchover_target});
    case machines::switchover_action::release_writes:
        LOG(INFO) << "planned switchover ended, writes resume database=" << m_view.database.str()
                  << " state=" << to_string(m_switchover->state());
        m_switchover.reset();
        m_view.writes_held = !m_remote_write_holds.empty();
        return publish_view();
    }
}

} // namespace oriole::app
