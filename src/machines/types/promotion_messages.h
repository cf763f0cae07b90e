#pragma once

#include "base/types/name.h"
#include "machines/types/log_position.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace oriole::machines {

enum class promotion_state {
    idle,
    fencing,     ///< asking all servers to accept the new term
    promoting,   ///< asking the server with the longest log to become primary
    redirecting, ///< asking the other servers to replicate from the new primary
    done,        ///< a majority of the servers is at the new primary's term
    failed       ///< abandoned, no confirmed entry lost; a later attempt uses a higher term
};

[[nodiscard]] constexpr std::string_view to_string(promotion_state value) noexcept {
    switch (value) {
    case promotion_state::idle:
        return "idle";
    case promotion_state::fencing:
        return "fencing";
    case promotion_state::promoting:
        return "promoting";
    case promotion_state::redirecting:
        return "redirecting";
    case promotion_state::done:
        return "done";
    case promotion_state::failed:
        return "failed";
    }
    return "failed";
}

/// `server` has accepted the term and no longer replicates from primaries of lower terms.
/// `last_entry` is the position of the last entry in its log.
struct server_fenced {
    server_name server;
    std::uint64_t term = 0;
    log_position last_entry;

    friend bool operator==(const server_fenced&, const server_fenced&) = default;
};

/// `server` has become primary in the term.
struct server_promoted {
    server_name server;
    std::uint64_t term = 0;

    friend bool operator==(const server_promoted&, const server_promoted&) = default;
};

/// `server` replicates from the new primary in the term.
struct server_follows {
    server_name server;
    std::uint64_t term = 0;

    friend bool operator==(const server_follows&, const server_follows&) = default;
};

/// `server` refused a message of `term` because it has accepted a higher `accepted_term`, or the
/// same term from another instance (promoter).
struct server_refused {
    server_name server;
    std::uint64_t term = 0;
    std::uint64_t accepted_term = 0;

    friend bool operator==(const server_refused&, const server_refused&) = default;
};

/// `server` has not answered a message of `term` yet.
struct server_unresponsive {
    server_name server;
    std::uint64_t term = 0;

    friend bool operator==(const server_unresponsive&, const server_unresponsive&) = default;
};

/// The time limit of `state`, in which the promotion was when its timer started, has expired.
struct promotion_timeout {
    promotion_state state = promotion_state::idle;
    std::uint64_t term = 0;

    friend bool operator==(const promotion_timeout&, const promotion_timeout&) = default;
};

using promotion_event = std::variant<server_fenced, server_promoted, server_follows, server_refused,
                                     server_unresponsive, promotion_timeout>;

enum class promotion_request { fence, promote, follow };

/// A message to send to `server`. The answer, or its absence, is reported as a promotion_event.
struct promotion_action {
    promotion_request request = promotion_request::fence;
    server_name server;
    std::uint64_t term = 0;
    server_name primary; ///< the new primary; set for follow only

    friend bool operator==(const promotion_action&, const promotion_action&) = default;
};

} // namespace oriole::machines
