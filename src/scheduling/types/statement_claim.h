#pragma once

#include "base/clock.h"
#include "base/types/name.h"

namespace oriole::scheduling {

/// A statement that asks for an execution slot at a server.
struct statement_claim {
    account_name account;
    int priority = 0; ///< of its route; 0 is the most urgent
    /// Latest time at which the statement may start so that its caller is served in time.
    clock::time_point latest_start{};

    friend bool operator==(const statement_claim&, const statement_claim&) = default;
};

/// How a statement that occupied a slot ended.
enum class statement_end {
    answered, ///< the server executed it, whatever its answer was
    refused,  ///< the server had too much work to execute it
    unknown   ///< no answer, or nothing was sent
};

} // namespace oriole::scheduling
