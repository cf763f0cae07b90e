#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::contracts {

/// A request that waits for capacity at a backend server.
struct admission_request {
    account_name account;
    double account_weight = 1.0; ///< relative claim to the server's capacity under overload
    double cost = 1.0;           ///< work that the request causes, relative to others
    clock::time_point deadline;
    int priority = 0; ///< 0 is the most urgent

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// Identifies a queued request; unique within one queue.
using admission_ticket = std::uint64_t;

/// Requests that wait for one backend server, by priority. Within a priority by deadline per client
/// account, and deficit round robin between accounts, so that an account that exceeds its portion
/// of the capacity delays only its own requests. Requests of lower priority get at least a tenth of
/// the capacity while they wait. Not thread-safe.
class admission_queue {
public:
    virtual ~admission_queue() = default;

    /// Adds a request. Returns no ticket when the request is refused: at the current service rate
    /// it cannot be served before its deadline, or the queue is full with requests of at least its
    /// priority and no other account has more queued work for its weight.
    [[nodiscard]] virtual std::optional<admission_ticket> enqueue(const admission_request& request,
                                                                  clock::time_point now) = 0;

    /// Removes and returns the request to serve next. Requests whose deadline has passed are not
    /// returned, nor, while others wait, those with less time left than a request takes to be
    /// served, nor those that are less urgent than `least_urgent`. Within a priority those of
    /// `preferred` accounts, which cost less to serve now, go first as far as the account's portion
    /// of the capacity allows it.
    [[nodiscard]] virtual std::optional<admission_ticket>
    take(clock::time_point now, int least_urgent, const std::set<account_name>& preferred) = 0;

    /// Removes and returns the request to serve next, whatever its priority and account.
    [[nodiscard]] std::optional<admission_ticket> take(clock::time_point now) {
        return take(now, std::numeric_limits<int>::max(), {});
    }

    /// Requests dropped since the last call because they could not meet their deadline, or to make
    /// room for a more urgent request or one of an account with less queued work.
    [[nodiscard]] virtual std::vector<admission_ticket> take_dropped(clock::time_point now) = 0;

    /// Reports how long the backend server took to answer a request.
    virtual void served(clock::duration duration) = 0;

    [[nodiscard]] virtual std::size_t size() const noexcept = 0;
};

/// Creates a queue that holds at most `max_length` requests. Precondition: `max_length` is
/// positive.
[[nodiscard]] std::unique_ptr<admission_queue> make_fair_admission_queue(std::size_t max_length);

} // namespace oriole::contracts
