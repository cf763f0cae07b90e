#pragma once

#include "load/request_executor.h"
#include "load/types/load_options.h"
#include "load/types/load_result.h"

#include <memory>

namespace oriole::load {

/// Runs an open-loop load: requests start at the times of a seeded schedule, whether or not earlier
/// ones have been answered. A request that finds all sessions of its account busy waits, and the
/// wait counts towards its latency. After the load, looks up writes with an unknown outcome and
/// reads back all written rows.
class load_run {
public:
    virtual ~load_run() = default;

    /// Blocks until load and checks have ended. `show_progress` prints one line per second to
    /// standard error.
    [[nodiscard]] virtual load_result run(bool show_progress) = 0;
};

/// Precondition: `options` outlives the run.
[[nodiscard]] std::unique_ptr<load_run> make_load_run(const load_options& options);

} // namespace oriole::load
