#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <optional>

namespace oriole::fleet {

/// What one instance observed about the primary of a service.
struct primary_evidence {
    server_name server;                        ///< the primary as this instance knows it
    std::optional<clock::time_point> answered; ///< time of the last complete answer
    /// Time of the first failure after the last answer.
    std::optional<clock::time_point> failing_since;

    friend bool operator==(const primary_evidence&, const primary_evidence&) = default;
};

} // namespace oriole::fleet
