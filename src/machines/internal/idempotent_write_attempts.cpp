#include "machines/internal/idempotent_write_attempts.h"

#include <algorithm>

namespace oriole::machines {

/// Handles one write event: each overload updates the write's progress and returns the next step.
class idempotent_write_attempts::decision {
public:
    decision(const write_attempts_settings& settings, write_progress& progress,
             const database_view& view, std::size_t majority, clock::time_point now)
        : m_settings(settings),
          m_progress(progress),
          m_view(view),
          m_majority(majority),
          m_now(now) {}

    [[nodiscard]] write_step operator()(const write_ready& /*event*/) {
        if (m_progress.position != log_position{} && !newer_primary()) {
            return confirm();
        }
        return attempt();
    }

    [[nodiscard]] write_step operator()(const write_executed& event) {
        mark_unresolved();
        // An entry of an earlier term cannot be confirmed directly, since the servers are at a
        // higher term. The lookup returns a position of the current term, whose confirmation
        // includes the earlier entry.
        if (event.repeated && event.position.term() != m_progress.term) {
            return look_up();
        }
        m_progress.found = true;
        m_progress.position = event.position;
        return confirm();
    }

    [[nodiscard]] write_step operator()(const write_looked_up& event) {
        m_progress.found = event.found;
        m_progress.position = event.position;
        return confirm();
    }

    [[nodiscard]] write_step operator()(const write_confirmed& /*event*/) {
        if (m_progress.found) {
            return answer(outcome::done);
        }
        m_progress.position = {};
        if (m_progress.term > m_progress.unresolved_term) {
            return answer(outcome::not_run);
        }
        // A request of this term may still reach the server, so its absence proves nothing.
        return m_progress.resendable && time_for_attempt() ? attempt() : wait_for_server();
    }

    [[nodiscard]] write_step operator()(const write_not_confirmed& event) {
        if (newer_primary()) {
            return attempt();
        }
        if (event.fenced) {
            m_progress.position = {};
            return wait_for_view();
        }
        return wait_for_server();
    }

    [[nodiscard]] write_step operator()(const write_refused& /*event*/) {
        if (!m_progress.resendable && m_progress.unresolved_term == 0) {
            return answer(outcome::not_run);
        }
        return newer_primary() ? attempt() : wait_for_view();
    }

    [[nodiscard]] write_step operator()(const write_link_failed& event) {
        if (event.sent && !m_progress.looking_up) {
            mark_unresolved();
        }
        if (!m_progress.resendable && m_progress.unresolved_term == 0) {
            return answer(outcome::not_run);
        }
        return newer_primary() ? attempt() : wait_for_server();
    }

private:
    [[nodiscard]] bool newer_primary() const {
        return m_view.primary && m_view.term > m_progress.term;
    }

    [[nodiscard]] bool time_for_attempt() const {
        return m_progress.unresolved_term == 0 ||
               m_progress.deadline - m_now >= m_settings.min_time_to_resend;
    }

    void mark_unresolved() {
        m_progress.unresolved_term = std::max(m_progress.unresolved_term, m_progress.term);
    }

    [[nodiscard]] write_step attempt() {
        if (m_now >= m_progress.deadline) {
            return give_up();
        }
        if (!m_view.primary || m_view.writes_held) {
            return wait_for_view();
        }
        const bool same_server_and_term =
            *m_view.primary == m_progress.server && m_view.term == m_progress.term;
        // The view is older than the last attempt; following it would lead back to an old primary.
        if (m_view.term < m_progress.term) {
            return wait_for_view();
        }
        if (!m_progress.server.empty()) {
            ++m_progress.retries;
        }
        m_progress.server = *m_view.primary;
        m_progress.term = m_view.term;
        m_progress.position = {};
        const bool must_look_up = m_progress.unresolved_term > 0 && !m_progress.resendable;
        auto step = must_look_up || !time_for_attempt() ? look_up() : send();
        step.uses_retry_budget = same_server_and_term;
        return step;
    }

    [[nodiscard]] write_step send() {
        m_progress.looking_up = false;
        return step_at_server(write_action::send);
    }

    [[nodiscard]] write_step look_up() {
        m_progress.looking_up = true;
        return step_at_server(write_action::look_up);
    }

    [[nodiscard]] write_step confirm() {
        if (m_majority <= 1) {
            return (*this)(write_confirmed{});
        }
        if (m_now >= m_progress.deadline) {
            return give_up();
        }
        auto step = step_at_server(write_action::confirm);
        step.position = m_progress.position;
        step.confirmations = m_majority - 1;
        return step;
    }

    [[nodiscard]] write_step step_at_server(write_action action) const {
        write_step step;
        step.action = action;
        step.server = m_progress.server;
        step.term = m_progress.term;
        return step;
    }

    [[nodiscard]] write_step wait_for_view() const { return wait(m_settings.max_view_wait); }

    [[nodiscard]] write_step wait_for_server() const { return wait(m_settings.server_retry_delay); }

    [[nodiscard]] write_step wait(std::chrono::milliseconds bound) const {
        if (m_now >= m_progress.deadline) {
            return give_up();
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_progress.deadline - m_now);
        write_step step;
        step.action = write_action::wait;
        step.wait = std::min(bound, left);
        return step;
    }

    [[nodiscard]] write_step give_up() const {
        return answer(m_progress.unresolved_term == 0 ? outcome::not_run : outcome::unknown);
    }

    [[nodiscard]] static write_step answer(outcome result) {
        write_step step;
        step.action = write_action::answer;
        step.result = result;
        return step;
    }

    const write_attempts_settings& m_settings;
    write_progress& m_progress;
    const database_view& m_view;
    std::size_t m_majority;
    clock::time_point m_now;
};

idempotent_write_attempts::idempotent_write_attempts(write_attempts_settings settings)
    : m_settings(settings) {}

std::pair<write_progress, write_step> idempotent_write_attempts::next(write_progress progress,
                                                                      const write_event& event,
                                                                      const database_view& view,
                                                                      std::size_t majority,
                                                                      clock::time_point now) const {
    decision visitor(m_settings, progress, view, majority, now);
    auto step = std::visit(visitor, event);
    return {std::move(progress), std::move(step)};
}

std::unique_ptr<write_attempts> make_write_attempts(write_attempts_settings settings) {
    return std::make_unique<idempotent_write_attempts>(settings);
}

} // namespace oriole::machines
