#pragma once

#include "base/types/name.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace oriole::machines {

/// One instance's evidence that the primary of a term does not answer. It is sent to other
/// instances whose clocks differ, so it has a duration instead of a point in time.
struct failure_evidence {
    database_name database;
    server_name primary;
    std::uint64_t term = 0;
    instance_id observer;                    ///< the instance that got no answer
    std::chrono::milliseconds silent_for{0}; ///< time without an answer

    friend auto operator<=>(const failure_evidence&, const failure_evidence&) = default;
};

} // namespace oriole::machines
