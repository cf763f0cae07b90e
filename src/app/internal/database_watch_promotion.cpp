// The part of database_watch that changes primaries.
#include "app/internal/database_watch.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using machines::promotion_state;

constexpr std::size_t timelines_kept = 16;

/// Turns a server's answer into the promotion's event; an unexpected one counts as silence.
machines::promotion_event to_event(const machines::promotion_action& action,
                                   const std::optional<links::backend_result>& result) {
    if (!result) {
        return machines::server_unresponsive{action.server, action.term};
    }
    if (const auto* refusal = std::get_if<links::refusal_answer>(&*result)) {
        LOG(INFO) << "server refused a step of a promotion server=" << action.server.str()
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
    redirect_strays();
    if (m_switchover) {
        return advance_switchover();
    }
    const auto now = m_clock.now();
    const auto reason = reason_to_promote();
    if (reason.empty()) {
        m_trouble_since.reset();
        return consider_switchover();
    }
    if (!m_trouble_since || m_trouble != reason) {
        m_trouble_since = now;
        m_trouble = reason;
    }
    const bool failed = reason == "primary silent";
    auto delay = m_settings.rank_delay * static_cast<int>(*m_duty.rank);
    delay += failed ? std::chrono::milliseconds(0) : m_settings.repair_after;
    if (now - *m_trouble_since < delay) {
        return;
    }
    auto preferred = servers_in_service();
    if (!failed && m_view.primary && preferred.contains(*m_view.primary)) {
        preferred = {*m_view.primary};
    }
    begin_promotion(reason, std::move(preferred));
}

std::string database_watch::reason_to_promote() const {
    if (!majority_heard()) {
        return "";
    }
    const auto now = m_clock.now();
    if (!m_view.primary) {
        return "no primary";
    }
    if (m_detector->failed(*m_view.primary, m_view.term, m_duty.watchers, now)) {
        return "primary silent";
    }
    return stranded() ? "server at a higher term than the primary" : "";
}

bool database_watch::majority_heard() const {
    // Without a majority a promotion cannot succeed, and its fence would only strand the servers
    // that this instance still reaches.
    const auto now = m_clock.now();
    const auto heard =
        std::count_if(m_view.reports.begin(), m_view.reports.end(), [&](const auto& entry) {
            return now - entry.second.received_at < m_settings.heard_within;
        });
    return static_cast<std::size_t>(heard) >= m_database->subject.majority();
}

bool database_watch::stranded() const {
    // Left by a promoter that failed after it had fenced. Such a server can neither confirm writes
    // nor follow; a promotion at a still higher term takes it along.
    return std::any_of(m_view.reports.begin(), m_view.reports.end(),
                       [this](const auto& entry) { return entry.second.term > m_view.term; });
}

void database_watch::begin_promotion(std::string reason, std::set<server_name> preferred) {
    machines::promotion_plan plan;
    const auto& members = m_database->subject.servers();
    plan.members = {members.begin(), members.end()};
    plan.term = ++m_highest_term;
    plan.preferred = std::move(preferred);
    m_promotion = machines::make_promotion(plan);
    m_promotion_started = m_clock.now();
    m_trouble_since.reset();
    LOG(WARNING) << "promotion started, writes wait for its end database=" << m_view.database.str()
                 << " term=" << plan.term << " reason=\"" << reason << "\"";
    machines::promotion_timeline timeline;
    timeline.database = m_view.database;
    timeline.reason = std::move(reason);
    timeline.term = plan.term;
    timeline.started = std::chrono::system_clock::now();
    m_timelines.push_back(std::move(timeline));
    if (m_timelines.size() > timelines_kept) {
        m_timelines.pop_front();
    }
    spawn(run_promotion(m_promotion, plan.term));
}

boost::asio::awaitable<void>
database_watch::run_promotion(std::shared_ptr<machines::promotion> machine, std::uint64_t term) {
    const auto first = machine->start();
    note_state(machine->state());
    dispatch(machine, first);
    while (!m_stopped && machine == m_promotion) {
        const auto state = machine->state();
        const bool fencing = state == promotion_state::fencing;
        m_promotion_timer.expires_after(fencing ? m_settings.fencing_bound
                                                : m_settings.promoting_bound);
        boost::system::error_code woken;
        auto token = asio::redirect_error(asio::use_awaitable, woken);
        co_await m_promotion_timer.async_wait(token);
        if (!woken && machine == m_promotion) {
            advance(machine, machines::promotion_timeout{state, term});
        }
    }
}

void database_watch::dispatch(const std::shared_ptr<machines::promotion>& machine,
                              const std::vector<machines::promotion_action>& actions) {
    for (const auto& action : actions) {
        spawn(carry_out(machine, action));
    }
}

boost::asio::awaitable<void> database_watch::carry_out(std::shared_ptr<machines::promotion> machine,
                                                       machines::promotion_action action) {
    const auto sent_at = m_clock.now();
    auto request = message(action);
    const auto result =
        co_await m_links.call(action.server, std::move(request), m_settings.step_timeout);
    if (!result) {
        // A refused connection fails at once; the pause keeps the repeats apart.
        asio::steady_timer pause(m_executor);
        pause.expires_after(sent_at + m_settings.step_timeout - m_clock.now());
        boost::system::error_code ignored;
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        co_await pause.async_wait(token);
    }
    if (!m_stopped && machine == m_promotion) {
        advance(machine, to_event(action, result));
    }
}

void database_watch::advance(const std::shared_ptr<machines::promotion>& machine,
                             const machines::promotion_event& event) {
    const auto before = machine->state();
    const auto actions = machine->handle(event);
    const auto after = machine->state();
    if (after != before) {
        note_state(after);
        m_promotion_timer.cancel();
    }
    const bool promoted = after == promotion_state::redirecting || after == promotion_state::done;
    if (promoted && after != before) {
        // Writes may go to the new primary now; they are confirmed once a server follows it.
        take_primary(m_timelines.back().term, *machine->chosen());
        publish();
    }
    dispatch(machine, actions);
    if (after == promotion_state::done || after == promotion_state::failed) {
        end_promotion(*machine);
    }
}

void database_watch::note_state(promotion_state state) {
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
        apply(m_switchover->promotion_ended(end));
    }
}

links::backend_call database_watch::message(const machines::promotion_action& action) const {
    switch (action.request) {
    case machines::promotion_request::fence:
        return links::fence_request{action.term, m_self.str()};
    case machines::promotion_request::promote: {
        links::promote_request request{action.term, m_self.str(), {}};
        for (const auto& server : m_database->subject.servers()) {
            request.members.push_back(address_of(server));
        }
        return request;
    }
    case machines::promotion_request::follow:
        return links::follow_request{action.term, address_of(action.primary)};
    }
    return links::probe_request{};
}

void database_watch::consider_switchover() {
    const auto now = m_clock.now();
    if (!m_view.primary || in_service(*m_view.primary) || m_duty.rank != std::size_t{0} ||
        now < m_next_switchover) {
        return;
    }
    m_target = switchover_target();
    if (!m_target) {
        return;
    }
    LOG(INFO) << "planned change of primary, writes are held database=" << m_view.database.str()
              << " target=" << m_target->str();
    m_next_switchover = now + m_settings.switchover_retry;
    m_last_primary_position = {};
    m_switchover = machines::make_switchover();
    apply(m_switchover->start(now));
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
    if (m_detector->failed(*m_view.primary, m_view.term, m_duty.watchers, now)) {
        return apply(m_switchover->primary_failed());
    }
    const auto primary = m_view.reports.find(*m_view.primary);
    const auto target = m_view.reports.find(*m_target);
    if (primary != m_view.reports.end() && target != m_view.reports.end()) {
        const auto position = primary->second.held;
        const bool steady = position == m_last_primary_position;
        m_last_primary_position = position;
        apply(m_switchover->update_positions(position, target->second.held, steady));
    }
    if (m_switchover) {
        apply(m_switchover->tick(now));
    }
}

void database_watch::apply(machines::switchover_action action) {
    switch (action) {
    case machines::switchover_action::none:
        return;
    case machines::switchover_action::hold_writes:
        m_view.writes_held = true;
        return publish();
    case machines::switchover_action::start_promotion:
        return begin_promotion("planned", {*m_target});
    case machines::switchover_action::release_writes:
        LOG(INFO) << "planned change ended, writes go on database=" << m_view.database.str()
                  << " state=" << to_string(m_switchover->state());
        m_switchover.reset();
        m_view.writes_held = !m_holds.empty();
        return publish();
    }
}

} // namespace oriole::app
