#pragma once

#include "base/clock.h"

namespace oriole::entry {

/// What a coordinator has decided in advance about the operations of one account at this instance.
/// It bounds the calls to the coordinator, which admits the account's operations for the whole
/// fleet: an account that sends many times its rate must not overload the coordinator's machine,
/// on which the other accounts of its rate group depend. Not thread-safe.
class advance_admissions {
public:
    enum class decision {
        admitted, ///< by an earlier answer of the coordinator
        refused,  ///< because the account's rate was used up a moment ago
        unknown   ///< the coordinator has to be asked
    };

    /// Decides on an operation that begins now.
    [[nodiscard]] decision decide(clock::time_point now);

    /// Number of operations to ask for: as many as began in the last report interval, within
    /// bounds.
    [[nodiscard]] int wanted() const;

    /// Records that the coordinator admitted this many operations, of which one begins now.
    void record_answer(int admitted, clock::time_point now);

    /// Starts a new report interval.
    void end_interval();

    /// Largest number of operations to ask for at once.
    static constexpr int max_batch = 64;

private:
    int m_remaining = 0;
    clock::time_point m_expires_at{};
    clock::time_point m_refused_until{};
    int m_current_interval = 0;  ///< operations since the last report to the control thread
    int m_previous_interval = 0; ///< operations in the report interval before it
};

} // namespace oriole::entry
