#pragma once

#include "load/internal/row_index.h"
#include "load/types/violation.h"

#include <memory>
#include <string>
#include <vector>

namespace oriole::load {

/// A guarantee of the proxy that is checked against a recorded history.
class property {
public:
    virtual ~property() = default;

    [[nodiscard]] virtual std::string name() const = 0;

    /// The violations found; the caller fills in their property names. `rows` is the index of
    /// `history`.
    [[nodiscard]] virtual std::vector<violation> check(const recorded_history& history,
                                                       const row_index& rows) const = 0;
};

/// A session reads no value older than its last acknowledged write.
[[nodiscard]] std::unique_ptr<property> make_read_your_writes();
/// Acknowledged writes are still there after the load.
[[nodiscard]] std::unique_ptr<property> make_lost_acknowledged_write();
/// Counters equal the sum of the increments that ran.
[[nodiscard]] std::unique_ptr<property> make_doubled_request();
/// A write with the outcome not-run has no effect.
[[nodiscard]] std::unique_ptr<property> make_untrue_not_run();
/// A response has only the requested rows, and only values that the same session wrote.
[[nodiscard]] std::unique_ptr<property> make_foreign_answer();
/// A response with the outcome done has a result for each statement.
[[nodiscard]] std::unique_ptr<property> make_incomplete_answer();
/// No request runs with a key that is unknown or withdrawn.
[[nodiscard]] std::unique_ptr<property> make_wrong_account();
/// In no time interval do more requests run than the rate and burst of the account admit.
[[nodiscard]] std::unique_ptr<property> make_rate_excess();
/// Every request has an outcome, and every write of unknown outcome is resolved by a lookup.
[[nodiscard]] std::unique_ptr<property> make_missing_outcome();

} // namespace oriole::load
