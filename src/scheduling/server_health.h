#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "machines/circuit_breaker.h"
#include "machines/slow_start.h"
#include "scheduling/types/ejection_reason.h"

#include <memory>

namespace oriole::scheduling {

/// Judges one server by the share of its statements that fail or are far too slow, whatever its
/// health checks say. An ejected server gets one probe at a time, and after several good ones a
/// share of its work that grows. Not thread-safe.
class server_health {
public:
    /// Precondition: `random` outlives the object.
    explicit server_health(random_source& random);

    /// Records a statement that the server ran well.
    void record_good(clock::time_point now);

    /// Records a statement that failed or was slow.
    void record_bad(ejection_reason reason, clock::time_point now);

    [[nodiscard]] bool ejected() const noexcept { return m_breaker->open(); }

    /// The reason of the last ejection.
    [[nodiscard]] ejection_reason reason() const noexcept { return m_reason; }

    /// Returns whether an ejected server is due for a probe, and counts it as sent: the caller must
    /// send a statement now and record its result.
    [[nodiscard]] bool take_probe(clock::time_point now);

    /// Returns whether the server may have one more statement: never while it is ejected, and at
    /// random with a growing probability after it was taken back.
    [[nodiscard]] bool admits(clock::time_point now);

private:
    void fade(clock::time_point now);
    void take_back(clock::time_point now);

    random_source& m_random;
    std::unique_ptr<machines::circuit_breaker> m_breaker;
    std::unique_ptr<machines::slow_start> m_return = machines::make_linear_slow_start();
    ejection_reason m_reason = ejection_reason::none;
    double m_statements = 0; ///< recent statements, older ones counting less
    double m_bad = 0;        ///< those of them that failed or were slow
    clock::time_point m_updated{};
};

} // namespace oriole::scheduling
