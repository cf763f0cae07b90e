#pragma once

#include "base/clock.h"
#include "machines/types/read_plan.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace oriole::machines {

enum class read_event {
    ready,         ///< the read starts, or a new plan is available after `rank_again`
    refused,       ///< the server's data was too old or it had no free connection; nothing ran
    history_lost,  ///< the required entry is not in the server's log and never will be
    failed_unsent, ///< the connection failed before the request was sent
    failed_sent    ///< the connection failed after sending, so the request may have run
};

/// State of one read, kept by the caller of `read_attempts` between steps.
struct read_progress {
    clock::time_point deadline;
    bool repeatable = true;
    std::size_t next = 0;     ///< index of the next candidate in the plan
    std::uint32_t rounds = 0; ///< how often all candidates of a plan have been tried
    bool at_primary = false;  ///< the last attempt was sent to the primary

    friend bool operator==(const read_progress&, const read_progress&) = default;
};

enum class read_action {
    send,                  ///< send the read to `candidate` after `candidate.wait`
    rank_again,            ///< after `wait`, rank the servers again and report read_event::ready
    give_up,               ///< the deadline has passed and no server has answered
    report_history_lost,   ///< the primary's log lacks entries that the session has seen
    report_outcome_unknown ///< the request may have run and must not be repeated
};

struct read_step {
    read_action action = read_action::give_up;
    read_candidate candidate;
    std::chrono::milliseconds wait{0};
    bool uses_retry_budget = false; ///< count the step against the account's retry budget

    friend bool operator==(const read_step&, const read_step&) = default;
};

/// Decides the next step of a read. A refusal leads to the next candidate without use of the retry
/// budget, since the server did no work; a retry after a failure uses it. Thread-safe.
class read_attempts {
public:
    virtual ~read_attempts() = default;

    [[nodiscard]] virtual std::pair<read_progress, read_step> next(read_progress progress,
                                                                   read_event event,
                                                                   const read_plan& plan,
                                                                   clock::time_point now) const = 0;
};

[[nodiscard]] std::unique_ptr<read_attempts> make_read_attempts();

} // namespace oriole::machines
