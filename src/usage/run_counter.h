#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "usage/types/counted_runs.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace oriole::usage {

/// Counts the operations that began to run at backend servers. Not thread-safe; owned by the
/// traffic thread.
class run_counter {
public:
    virtual ~run_counter() = default;

    /// Records that an operation of the account began to run at a server at the boot clock's time
    /// `began`.
    virtual void count(const account_name& account, clock::time_point began) = 0;

    /// Returns the counts since the last call and starts again from zero.
    [[nodiscard]] virtual std::vector<counted_runs> take() = 0;

    /// Start times are kept with this resolution.
    static constexpr clock::duration resolution = std::chrono::milliseconds(10);
};

[[nodiscard]] std::unique_ptr<run_counter> make_run_counter();

} // namespace oriole::usage
