#pragma once

#include "base/clock.h"

#include <string>

namespace oriole::scheduling {

/// What a read needs.
struct read_request {
    std::string kind; ///< reads of one kind take similar times; the name of the route's database
    clock::duration latency_target{};

    friend bool operator==(const read_request&, const read_request&) = default;
};

} // namespace oriole::scheduling
