#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "scheduling/types/read_candidate.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace oriole::scheduling {

/// Orders the servers that may run a read. Not thread-safe.
class server_choice {
public:
    virtual ~server_choice() = default;

    /// Returns the indices of all candidates, preferred ones first. `latency_target` is the target
    /// duration of the caller's operation.
    [[nodiscard]] virtual std::vector<std::size_t>
    order(const std::vector<read_candidate>& candidates, clock::duration latency_target) = 0;
};

/// Keeps reads in the own zone as long as the callers do not notice its load. Beyond that the
/// choice is random, weighted by the predicted times, so that instances that know the same do not
/// all choose the same server. Precondition: `random` outlives the choice.
[[nodiscard]] std::unique_ptr<server_choice> make_weighted_server_choice(random_source& random);

} // namespace oriole::scheduling
