#pragma once

#include "base/clock.h"
#include "scheduling/types/attempt_result.h"
#include "scheduling/types/reader.h"

#include <string>

namespace oriole::scheduling {

/// How a read ended at a server.
struct read_result {
    std::string kind;
    attempt_result result = attempt_result::served;
    /// Time from sending the read to its answer; 0 when it is not comparable with that of others.
    clock::duration elapsed{};
    reader at; ///< the server, as known when the read ended

    friend bool operator==(const read_result&, const read_result&) = default;
};

} // namespace oriole::scheduling
