#pragma once

#include "contracts/share_divider.h"

#include <functional>

namespace oriole::app {

/// Distributes the instance's rate shares to the traffic threads, one slice for each thread.
class share_publisher {
public:
    virtual ~share_publisher() = default;

    /// Posts its slices to each thread. `on_applied` runs once, on the control thread and after
    /// this call has returned, when every thread's rate limiter uses its new slices.
    virtual void publish(const contracts::thread_shares& slices,
                         std::function<void()> on_applied) = 0;
};

} // namespace oriole::app
