#pragma once

#include "base/clock.h"
#include "base/types/name.h"

#include <optional>

namespace oriole::fleet {

/// What one instance saw of a service's primary.
struct primary_evidence {
    server_name server;
    std::optional<clock::time_point> answered;      ///< last complete answer
    std::optional<clock::time_point> failing_since; ///< first failure after it

    friend bool operator==(const primary_evidence&, const primary_evidence&) = default;
};

} // namespace oriole::fleet
