#pragma once

#include "base/types/outcome.h"
#include "machines/types/statement.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace oriole::load {

enum class request_phase {
    load, ///< sent during the load
    check ///< read at the primary after the load, to verify acknowledged writes
};

/// One request and its response as the session saw them. Times count from the start of the run.
/// The input of the history checker and of the report.
struct recorded_request {
    std::string id; ///< the Idempotency-Key
    std::string account;
    std::size_t session = 0;
    request_phase phase = request_phase::load;
    std::string target; ///< address of the instance or backend server
    std::vector<machines::statement> statements;
    std::chrono::microseconds intended{0}; ///< time in the schedule; latency counts from it
    std::chrono::microseconds sent{0};
    std::chrono::microseconds answered{0};
    int status = 0;                  ///< HTTP status; 0: no HTTP response
    std::optional<outcome> result;   ///< nullopt: the response names no outcome
    std::optional<outcome> resolved; ///< outcome of an unknown write, looked up after the load
    std::vector<machines::statement_result> results;
    bool by_replica = false;
    std::string reason; ///< why the request was refused or failed

    [[nodiscard]] bool writes() const noexcept {
        return !statements.empty() && statements.front().writes();
    }

    [[nodiscard]] std::optional<outcome> final_outcome() const noexcept {
        return resolved ? resolved : result;
    }

    [[nodiscard]] bool done() const noexcept { return result == outcome::done; }

    friend bool operator==(const recorded_request&, const recorded_request&) = default;
};

/// The request and its response in one line, for the description of a violation.
[[nodiscard]] std::string describe(const recorded_request& request);

} // namespace oriole::load
