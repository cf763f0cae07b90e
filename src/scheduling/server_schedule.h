#pragma once

#include "contracts/admission_queue.h"
#include "scheduling/types/schedule_counts.h"
#include "scheduling/types/statement_claim.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::scheduling {

/// Decides which statements this instance has running at one server, and in which order the others
/// wait. Not thread-safe.
class server_schedule {
public:
    virtual ~server_schedule() = default;

    /// Sets the number of statements that the server executes at a time. Precondition: `slots` is
    /// positive.
    virtual void set_slots(int slots) = 0;

    /// Returns whether a statement that arrives now may start without waiting.
    [[nodiscard]] virtual bool may_start(int priority, clock::time_point now) const = 0;

    /// Records that a statement starts without having waited. The further statements of a
    /// transaction start even if may_start() is false.
    virtual void start(int priority, clock::time_point now) = 0;

    /// Adds a statement to those that wait. Returns no ticket when it is refused, because it could
    /// not start in time.
    [[nodiscard]] virtual std::optional<contracts::admission_ticket>
    enqueue(const statement_claim& claim, clock::time_point now) = 0;

    /// Removes and returns the waiting statement that starts now; none when no slot is free for one
    /// that waits. Within a priority, accounts with an idle connection go first as far as their
    /// portion allows it, because opening a connection occupies a slot as well.
    [[nodiscard]] virtual std::optional<contracts::admission_ticket>
    start_next(clock::time_point now, const std::set<account_name>& connected) = 0;

    /// Statements refused since the last call because they could not start in time, or to make room
    /// for others.
    [[nodiscard]] virtual std::vector<contracts::admission_ticket>
    take_refused(clock::time_point now) = 0;

    /// Removes and returns all waiting statements. They count as refused.
    [[nodiscard]] virtual std::vector<contracts::admission_ticket> clear(clock::time_point now) = 0;

    /// Records that a statement has left its slot, `time` after it was sent. Precondition: it was
    /// started.
    virtual void finish(int priority, statement_end end, clock::duration time,
                        clock::time_point now) = 0;

    /// Statements that wait.
    [[nodiscard]] virtual std::size_t waiting() const noexcept = 0;

    /// Returns the counts since the last call.
    [[nodiscard]] virtual schedule_counts take_counts() = 0;
};

/// Orders by priority, with a small part of the server for those that are passed over, and in turns
/// between the accounts of a priority. Precondition: `slots` is positive.
[[nodiscard]] std::unique_ptr<server_schedule> make_priority_server_schedule(int slots);

} // namespace oriole::scheduling
