#pragma once

#include "machines/write_attempts.h"

namespace oriole::machines {

class idempotent_write_attempts final : public write_attempts {
public:
    explicit idempotent_write_attempts(write_attempts_settings settings);

    [[nodiscard]] std::pair<write_progress, write_step>
    next(write_progress progress, const write_event& event, const database_view& view,
         std::size_t majority, clock::time_point now) const override;

private:
    class decision;

    write_attempts_settings m_settings;
};

} // namespace oriole::machines
