#pragma once

#include "machines/switchover.h"

namespace oriole::machines {

class write_holding_switchover final : public switchover {
public:
    explicit write_holding_switchover(std::chrono::milliseconds timeout);

    [[nodiscard]] switchover_action start(clock::time_point now) override;
    [[nodiscard]] switchover_action update_positions(log_position primary, log_position target,
                                                     bool primary_steady) override;
    [[nodiscard]] switchover_action promotion_ended(promotion_state end) override;
    [[nodiscard]] switchover_action primary_failed() override;
    [[nodiscard]] switchover_action tick(clock::time_point now) override;

    [[nodiscard]] switchover_state state() const noexcept override { return m_state; }

private:
    [[nodiscard]] switchover_action abandon();

    std::chrono::milliseconds m_timeout;
    clock::time_point m_started;
    switchover_state m_state = switchover_state::idle;
};

} // namespace oriole::machines
