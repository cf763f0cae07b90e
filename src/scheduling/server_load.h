#pragma once

#include "base/clock.h"
#include "scheduling/types/server_work.h"

#include <optional>

namespace oriole::scheduling {

/// What a server's answers show about its load, which includes the work that other instances send
/// there. Without answers the estimates fade, so that a server that was avoided is tried again. Not
/// thread-safe.
class server_load {
public:
    /// Records a served statement that took `elapsed`. `expected` is the usual time of its kind;
    /// nothing is recorded when it is 0.
    void record_served(clock::duration elapsed, clock::duration expected, clock::time_point now);

    /// Records that the server refused a statement as busy.
    void record_refused(clock::time_point now);

    /// Smoothed ratio of the time of the answers to the usual time; 1 when nothing is known.
    [[nodiscard]] double slowness(clock::time_point now) const;

    /// Smoothed share of the statements that were refused as busy.
    [[nodiscard]] double refused_share(clock::time_point now) const;

    /// Predicts the time from sending one more statement to its answer: what recent answers show,
    /// or what the work that was sent since then amounts to, whichever is longer.
    [[nodiscard]] clock::duration predicted_response(const server_work& work,
                                                     clock::time_point now) const;

private:
    /// Returns how much of the estimates still holds: 1 for new ones, towards 0 with age.
    [[nodiscard]] double freshness(clock::time_point now) const;
    void renew(clock::time_point now);

    double m_slowness = 1;
    double m_refused_share = 0;
    std::optional<clock::time_point> m_updated;
};

} // namespace oriole::scheduling
