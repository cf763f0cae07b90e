#pragma once

#include "machines/read_attempts.h"

namespace oriole::machines {

/// Tries the servers of the plan in order, one at a time.
class sequential_read_attempts final : public read_attempts {
public:
    [[nodiscard]] std::pair<read_progress, read_step> next(read_progress progress, read_event event,
                                                           const read_plan& plan,
                                                           clock::time_point now) const override;
};

} // namespace oriole::machines
