#pragma once

#include "load/types/recorded_history.h"
#include "load/types/violation.h"

#include <memory>
#include <string>
#include <vector>

namespace oriole::load {

/// Checks a recorded history for violations of the properties that the proxy guarantees, such as
/// read-your-writes. Uses neither the network nor a clock. Thread-safe.
class history_checker {
public:
    virtual ~history_checker() = default;

    /// Names of the properties that check() examines.
    [[nodiscard]] virtual std::vector<std::string> properties() const = 0;

    /// Every violation found, in the order of properties().
    [[nodiscard]] virtual std::vector<violation> check(const recorded_history& history) const = 0;
};

[[nodiscard]] std::unique_ptr<history_checker> make_history_checker();

} // namespace oriole::load
