#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "usage/types/true_time.h"

namespace oriole::entry {

/// Takes part in the exchange of wall clocks between instances. Not thread-safe; used on the
/// control thread.
class peer_clocks {
public:
    virtual ~peer_clocks() = default;

    /// What this instance's wall clock shows.
    [[nodiscard]] virtual usage::true_time own_wall_time() const = 0;

    /// Records that the peer's wall clock showed `wall` between the boot clock's times `asked` and
    /// `answered`.
    virtual void record_wall_time(const instance_id& peer, usage::true_time wall,
                                  clock::time_point asked, clock::time_point answered) = 0;
};

} // namespace oriole::entry
