#include "machines/internal/write_holding_switchover.h"

namespace oriole::machines {

write_holding_switchover::write_holding_switchover(std::chrono::milliseconds timeout)
    : m_timeout(timeout) {}

switchover_action write_holding_switchover::start(clock::time_point now) {
    m_started = now;
    m_state = switchover_state::holding;
    return switchover_action::hold_writes;
}

switchover_action write_holding_switchover::update_positions(log_position primary,
                                                             log_position target,
                                                             bool primary_steady) {
    if (m_state != switchover_state::holding || !primary_steady || target < primary) {
        return switchover_action::none;
    }
    m_state = switchover_state::promoting;
    return switchover_action::start_promotion;
}

switchover_action write_holding_switchover::promotion_ended(promotion_state end) {
    if (m_state != switchover_state::promoting) {
        return switchover_action::none;
    }
    m_state = end == promotion_state::done ? switchover_state::done : switchover_state::abandoned;
    return switchover_action::release_writes;
}

switchover_action write_holding_switchover::primary_failed() {
    return abandon();
}

switchover_action write_holding_switchover::tick(clock::time_point now) {
    return now - m_started < m_timeout ? switchover_action::none : abandon();
}

switchover_action write_holding_switchover::abandon() {
    // A running promotion is not interrupted; it ends by its own timeouts.
    if (m_state != switchover_state::holding) {
        return switchover_action::none;
    }
    m_state = switchover_state::abandoned;
    return switchover_action::release_writes;
}

std::unique_ptr<switchover> make_switchover(std::chrono::milliseconds timeout) {
    return std::make_unique<write_holding_switchover>(timeout);
}

} // namespace oriole::machines
