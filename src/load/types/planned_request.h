#pragma once

#include "base/types/outcome.h"
#include "load/traffic_profile.h"
#include "machines/types/statement.h"

#include <optional>
#include <string>
#include <vector>

namespace oriole::load {

struct planned_request {
    std::string id; ///< the Idempotency-Key; differs between runs
    request_kind kind = request_kind::read;
    std::vector<machines::statement> statements;

    friend bool operator==(const planned_request&, const planned_request&) = default;
};

/// The response to one request, or the reason why there is none.
struct execution_result {
    std::string target;            ///< address of the instance or backend server
    int status = 0;                ///< HTTP status; 0: no HTTP response
    std::optional<outcome> result; ///< nullopt: the response names no outcome
    std::vector<machines::statement_result> results;
    bool by_replica = false;
    std::string reason;

    friend bool operator==(const execution_result&, const execution_result&) = default;
};

} // namespace oriole::load
