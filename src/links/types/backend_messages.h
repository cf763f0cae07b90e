#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"
#include "machines/types/log_position.h"
#include "machines/types/server_role.h"
#include "machines/types/statement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between entry instances and backend servers, and among backend servers. Plain value
/// types with comparison operators. No message carries a caller's API key.
namespace oriole::links {

using machines::log_position;
using machines::statement;
using machines::statement_result;

enum class execute_mode { read, write };

/// Runs statements as one transaction, or within the transaction that is open on the connection.
struct execute_request {
    execute_mode mode = execute_mode::read;
    std::uint64_t term = 0; ///< writes: the term in which the server must be primary
    std::vector<statement> statements;
    std::optional<log_position> required; ///< reads: log entry that the server must have applied
    std::optional<std::chrono::milliseconds> max_age; ///< reads: maximum age of the data
    /// Writes outside a transaction: stored in the log entry. If the log already has an entry with
    /// this id, the statements do not run again and the stored result is returned.
    std::string request_id;

    friend bool operator==(const execute_request&, const execute_request&) = default;
};

/// Opens a transaction on this connection. The server rolls it back when the connection closes.
struct begin_request {
    std::uint64_t term = 0;

    friend bool operator==(const begin_request&, const begin_request&) = default;
};

struct commit_request {
    std::uint64_t term = 0;
    std::string request_id;

    friend bool operator==(const commit_request&, const commit_request&) = default;
};

struct rollback_request {
    friend bool operator==(const rollback_request&, const rollback_request&) = default;
};

/// Asks a primary for the stored result of the write with `request_id`.
struct lookup_request {
    std::uint64_t term = 0;
    std::string request_id;

    friend bool operator==(const lookup_request&, const lookup_request&) = default;
};

/// Waits, at most for `wait`, until the server's log contains the entry at `position` and the
/// server's term is still that of the position.
struct confirm_request {
    log_position position;
    std::chrono::milliseconds wait{0};

    friend bool operator==(const confirm_request&, const confirm_request&) = default;
};

struct probe_request {
    friend bool operator==(const probe_request&, const probe_request&) = default;
};

struct fence_request {
    std::uint64_t term = 0;
    std::string promoter;

    friend bool operator==(const fence_request&, const fence_request&) = default;
};

/// A backend server of a database and the control endpoint at which the other servers reach it.
struct member_address {
    server_name server;
    endpoint control;

    friend bool operator==(const member_address&, const member_address&) = default;
};

struct promote_request {
    std::uint64_t term = 0;
    std::string promoter;
    std::vector<member_address> members;

    friend bool operator==(const promote_request&, const promote_request&) = default;
};

struct follow_request {
    std::uint64_t term = 0;
    member_address primary;

    friend bool operator==(const follow_request&, const follow_request&) = default;
};

/// Sent by a replica to its primary to get the log entries after `from`. The primary waits at most
/// for `wait` for a new entry.
struct fetch_request {
    std::uint64_t term = 0;
    server_name replica;
    log_position from;
    std::chrono::milliseconds wait{0};

    friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

using backend_call = std::variant<execute_request, begin_request, commit_request, rollback_request,
                                  lookup_request, confirm_request, probe_request, fence_request,
                                  promote_request, follow_request, fetch_request>;

struct backend_request {
    std::uint64_t id = 0; ///< unique on its connection; set by the link
    backend_call call;

    friend bool operator==(const backend_request&, const backend_request&) = default;
};

struct execute_answer {
    std::vector<statement_result> results;
    /// Writes: position of the new log entry. With `repeated`: position of the last entry of the
    /// log, because an entry of an earlier term cannot itself be confirmed. Reads: position of the
    /// last applied entry.
    log_position position;
    bool repeated = false;                        ///< the log already contained the request id
    std::optional<std::chrono::milliseconds> age; ///< reads: upper bound on the age of the data

    friend bool operator==(const execute_answer&, const execute_answer&) = default;
};

/// Successful answer to begin, rollback, promote and follow.
struct accepted_answer {
    std::uint64_t term = 0;

    friend bool operator==(const accepted_answer&, const accepted_answer&) = default;
};

struct lookup_answer {
    bool found = false;
    std::vector<statement_result> results;
    log_position
        position; ///< last entry of the primary's log; `results` are valid once it is confirmed

    friend bool operator==(const lookup_answer&, const lookup_answer&) = default;
};

struct confirm_answer {
    /// Whether the log contains the entry. False when it did not arrive within the wait.
    bool holds = false;

    friend bool operator==(const confirm_answer&, const confirm_answer&) = default;
};

struct probe_answer {
    server_name server;
    std::uint64_t term = 0;
    machines::server_role role = machines::server_role::replica;
    std::optional<server_name> primary; ///< the server that this one follows, or itself
    log_position held;                  ///< last entry of the server's log
    log_position applied;               ///< last entry applied to the data
    std::chrono::milliseconds age = std::chrono::milliseconds::max();
    std::uint32_t connections = 0; ///< open statement connections

    friend bool operator==(const probe_answer&, const probe_answer&) = default;
};

struct fence_answer {
    std::uint64_t term = 0;
    log_position held; ///< last entry of the fenced server's log

    friend bool operator==(const fence_answer&, const fence_answer&) = default;
};

struct log_entry {
    log_position position;
    std::vector<statement> statements;
    std::string request_id;
    std::vector<statement_result> results;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

struct fetch_answer {
    std::vector<log_entry> entries;
    log_position last;                ///< the primary's last entry when it answered
    std::chrono::milliseconds age{0}; ///< upper bound on the age of the primary's own data
    /// Set when the primary's log does not contain the replica's `from`: the replica drops its
    /// entries after this position, an upper bound of the common prefix of both logs, and fetches
    /// again.
    std::optional<log_position> truncate_to;

    friend bool operator==(const fetch_answer&, const fetch_answer&) = default;
};

enum class refusal_reason {
    not_primary,   ///< the server is not primary; no statement ran
    stale_term,    ///< the server has accepted a higher term; no statement ran
    behind,        ///< the server has not applied the required entry yet
    too_old,       ///< the server's data may be older than allowed
    history_lost,  ///< the required entry is not in the server's log and never will be
    no_connection, ///< the server's limit on connections is reached
    conflict,      ///< the transaction conflicted with another one and was rolled back
    malformed      ///< the request cannot be decoded or is not allowed on this port
};

struct refusal_answer {
    refusal_reason reason = refusal_reason::malformed;
    std::uint64_t term = 0; ///< highest term that the server has accepted
    std::string message;

    friend bool operator==(const refusal_answer&, const refusal_answer&) = default;
};

using backend_result = std::variant<execute_answer, accepted_answer, lookup_answer, confirm_answer,
                                    probe_answer, fence_answer, fetch_answer, refusal_answer>;

struct backend_answer {
    std::uint64_t id = 0; ///< id of the request that this answers
    backend_result result;

    friend bool operator==(const backend_answer&, const backend_answer&) = default;
};

} // namespace oriole::links
