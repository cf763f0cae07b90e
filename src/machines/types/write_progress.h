#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "base/types/outcome.h"
#include "machines/types/log_position.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace oriole::machines {

/// State of one write, kept by the caller of `write_attempts` between steps.
struct write_progress {
    std::string request_id;
    clock::time_point deadline;
    /// Whether the statements may be sent again under the same request id. A commit may not be: its
    /// transaction ends with its connection, so only the log shows whether it was committed.
    bool resendable = true;
    server_name server; ///< server of the last attempt
    /// Term of the last attempt or, before the first attempt of a commit, of its transaction.
    std::uint64_t term = 0;
    /// Highest term in which an attempt may have run although its entry is not confirmed; 0 if
    /// none.
    std::uint64_t unresolved_term = 0;
    log_position position;     ///< position of the entry that is being confirmed
    bool looking_up = false;   ///< the last attempt was a lookup of the request id
    bool found = false;        ///< the entry is in the log of the last attempt's server
    std::uint32_t retries = 0; ///< attempts after the first

    friend bool operator==(const write_progress&, const write_progress&) = default;
};

/// The write starts, or a wait has ended.
struct write_ready {
    friend bool operator==(const write_ready&, const write_ready&) = default;
};

/// The server ran the statements, or (`repeated`) returned the recorded result of an earlier
/// attempt.
struct write_executed {
    log_position position;
    bool repeated = false;

    friend bool operator==(const write_executed&, const write_executed&) = default;
};

/// Enough other servers have confirmed, in the term of the entry's position, that they have the
/// entry.
struct write_confirmed {
    friend bool operator==(const write_confirmed&, const write_confirmed&) = default;
};

/// The confirmation failed: too few servers answered in time, or (`fenced`) a server is at a higher
/// term.
struct write_not_confirmed {
    bool fenced = false;

    friend bool operator==(const write_not_confirmed&, const write_not_confirmed&) = default;
};

/// The write was refused before anything was executed: the server is not primary, the term is
/// stale, no connection is available, or the connection pool did not admit the request.
struct write_refused {
    friend bool operator==(const write_refused&, const write_refused&) = default;
};

struct write_link_failed {
    bool sent = true; ///< the request may have reached the server

    friend bool operator==(const write_link_failed&, const write_link_failed&) = default;
};

/// Result of a lookup of the request id; `position` is the last entry of the primary's log.
struct write_looked_up {
    bool found = false;
    log_position position;

    friend bool operator==(const write_looked_up&, const write_looked_up&) = default;
};

using write_event = std::variant<write_ready, write_executed, write_confirmed, write_not_confirmed,
                                 write_refused, write_link_failed, write_looked_up>;

enum class write_action {
    send,    ///< execute the write at `server` in `term` under its request id
    look_up, ///< ask `server` in `term` for the request id's recorded result
    confirm, ///< ask servers other than `server` for `confirmations` confirmations of `position`
    wait,    ///< for `wait` or until a view with a newer term is published; then report write_ready
    answer   ///< return `result` to the caller
};

struct write_step {
    write_action action = write_action::wait;
    server_name server;
    std::uint64_t term = 0;
    log_position position;
    std::size_t confirmations = 0;
    std::chrono::milliseconds wait{0};
    outcome result = outcome::unknown;
    /// The step repeats an attempt at the same server in the same term, so it is taken from the
    /// account's retry budget. A retry after a change of primary is not, since each request needs
    /// at most one.
    bool uses_retry_budget = false;

    friend bool operator==(const write_step&, const write_step&) = default;
};

} // namespace oriole::machines
