#pragma once

#include "base/types/name.h"
#include "base/types/outcome.h"
#include "contracts/types/session_token.h"
#include "machines/types/server_role.h"
#include "machines/types/statement.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Requests of callers and the answers to them, independent of their encoding. Plain value types
/// with comparison operators.
namespace oriole::links {

enum class caller_call {
    run,      ///< runs the statements of one request as one transaction
    begin,    ///< opens a transaction that spans several requests
    add,      ///< runs statements within an open transaction
    commit,   ///< commits an open transaction
    rollback, ///< rolls back an open transaction
    lookup,   ///< asks for the outcome of an earlier request id
    cancel    ///< fixes the outcome of an earlier request id: either it ran, or it never will
};

struct caller_request {
    caller_call call = caller_call::run;
    service_name service;    ///< set for run, begin, lookup and cancel
    std::string transaction; ///< id of the transaction; set for add, commit and rollback
    std::string request_id;  ///< the caller's idempotency key; empty when none was given
    std::vector<machines::statement> statements;
    std::string key; ///< API key as presented, or empty. Never logged, never forwarded.
    contracts::session_token session;
    std::optional<std::chrono::milliseconds>
        deadline; ///< how long the caller will wait for the answer

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

enum class answer_code {
    ok,
    malformed, ///< the request cannot be decoded, or the service does not allow its statements
    unauthenticated,    ///< the key is missing, unknown or revoked
    forbidden,          ///< the key's client account may not use the service
    not_found,          ///< unknown service, transaction or path
    unsupported_method, ///< the path exists, the method does not
    conflict,  ///< the transaction has ended, or the entries that the session depends on are lost
    too_large, ///< the body exceeds its size limit
    over_rate, ///< the client account has exceeded its rate limit and burst
    headers_too_large, ///< the headers exceed their size limit
    unavailable,       ///< no server could serve the request in time
    outcome_unknown    ///< it is unknown whether the request ran
};

struct caller_answer {
    answer_code code = answer_code::ok;
    outcome result = outcome::not_run;
    std::string reason; ///< one-line explanation of an error; empty for ok
    std::vector<machines::statement_result> results;
    std::optional<machines::server_role> served_by;
    contracts::session_token session;
    std::string transaction; ///< id of the transaction that begin opened
    std::string request_id;  ///< id with which the outcome can be looked up
    std::optional<std::chrono::milliseconds> retry_after; ///< set for over_rate and unavailable
    bool close = false; ///< the connection is closed after this answer

    friend bool operator==(const caller_answer&, const caller_answer&) = default;
};

/// What is known of a request that has to be answered before it ends.
struct unfinished_request {
    caller_call call = caller_call::run;
    bool writes = false;
    std::string request_id; ///< the caller's idempotency key; empty when none was given

    friend bool operator==(const unfinished_request&, const unfinished_request&) = default;
};

/// The answer to a request that was refused before any statement ran.
[[nodiscard]] inline caller_answer refusal(answer_code code, std::string reason) {
    caller_answer answer;
    answer.code = code;
    answer.reason = std::move(reason);
    return answer;
}

} // namespace oriole::links
