#pragma once

#include "usage/types/counted_runs.h"
#include "usage/usage_ledger.h"
#include "usage/window_clock.h"

#include <vector>

namespace oriole::usage {

/// Puts the counts of this process into the ledger, in the windows in which the operations began.
/// Counts wait until true time is known. Not thread-safe; owned by the control thread.
class own_counts {
public:
    own_counts(instance_id own, std::uint64_t incarnation, clock::duration window)
        : m_own(std::move(own)), m_incarnation(incarnation), m_window(window) {}

    /// Takes the counts over. When too many wait for true time, the oldest are dropped.
    void add(const std::vector<counted_runs>& runs);

    /// Puts the counts that wait into the ledger, if true time is known.
    void place(const window_clock& time, usage_ledger& ledger);

    /// Largest number of counts that wait for true time.
    static constexpr std::size_t max_waiting = 20'000;

private:
    instance_id m_own;
    std::uint64_t m_incarnation;
    clock::duration m_window;
    std::vector<counted_runs> m_waiting;
};

} // namespace oriole::usage
