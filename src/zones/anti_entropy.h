#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "base/types/name.h"

#include <memory>
#include <optional>
#include <vector>

namespace oriole::zones {

/// Decides when and with which peer an instance compares configuration generations. The comparison
/// makes up for relay messages that were lost. Not thread-safe.
class anti_entropy {
public:
    virtual ~anti_entropy() = default;

    /// Time until the next comparison.
    [[nodiscard]] virtual clock::duration next_delay() = 0;

    /// The member to compare generations with; nullopt when `self` is the only member.
    [[nodiscard]] virtual std::optional<instance_id>
    pick_peer(const std::vector<instance_id>& members, const instance_id& self) = 0;
};

/// Picks peers uniformly at random. The delay is `period` with a random jitter of up to a quarter
/// in either direction, so that instances started together do not stay synchronized. Precondition:
/// `random` outlives the result.
[[nodiscard]] std::unique_ptr<anti_entropy> make_random_anti_entropy(random_source& random,
                                                                     clock::duration period);

} // namespace oriole::zones
