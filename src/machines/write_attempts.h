#pragma once

#include "machines/types/database_view.h"
#include "machines/types/write_progress.h"

#include <chrono>
#include <memory>
#include <utility>

namespace oriole::machines {

/// Decides the next step of a write. Retries are safe because the database records the request id
/// in the write's own log entry. The outcome is `not_run` only if no attempt can have run, or if a
/// confirmed log of a higher term than all unresolved attempts lacks the request id: servers of
/// that term refuse the older attempts even if they arrive late. Thread-safe.
///
/// `not_run` and `unknown` apply to this request only. A caller that reuses an idempotency key
/// after an earlier request ended as `unknown`, and now gets `not_run`, must still look up the
/// earlier request.
class write_attempts {
public:
    virtual ~write_attempts() = default;

    /// Returns the step to take after `event`, and the progress to pass with the next event.
    /// `majority` is the number of servers, including the primary, that must have an entry to
    /// confirm it. Precondition: `majority` is at least 1.
    [[nodiscard]] virtual std::pair<write_progress, write_step>
    next(write_progress progress, const write_event& event, const database_view& view,
         std::size_t majority, clock::time_point now) const = 0;
};

struct write_attempts_settings {
    /// Longest wait for a view with a new primary before the current view is used again.
    std::chrono::milliseconds max_view_wait{50};
    /// Delay before a retry at the same server in the same term; the caller adds jitter.
    std::chrono::milliseconds server_retry_delay{10};
    /// With less time left than this until the deadline, a write that may have run is looked up
    /// instead of sent again: the lookup can still give a definite outcome, while a new attempt
    /// could time out and leave the outcome unknown.
    std::chrono::milliseconds min_time_to_resend{100};

    friend bool operator==(const write_attempts_settings&,
                           const write_attempts_settings&) = default;
};

[[nodiscard]] std::unique_ptr<write_attempts>
make_write_attempts(write_attempts_settings settings = {});

} // namespace oriole::machines
