#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/configuration.h"
#include "sessions/caller_session.h"
#include "sessions/types/server_order.h"
#include "sessions/types/statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriole::entry {

/// Where a statement stands in its operation.
enum class statement_place {
    alone, ///< outside any transaction
    first, ///< of a transaction
    next   ///< a further one of a transaction, or its commit
};

/// A statement that an instance hands over to a gateway.
struct forwarded_statement {
    statement_place place = statement_place::alone;
    bool reads_only = false;       ///< of the transaction, in its first statement
    std::uint64_t transaction = 0; ///< the gateway's number of it, in further statements
    fleet::route route;
    account_name account;
    sessions::statement statement;
    sessions::session_decision decision;
    sessions::session_values values;
    std::optional<machines::log_position> own_commit;
    clock::duration elapsed{}; ///< since the statement arrived

    friend bool operator==(const forwarded_statement&, const forwarded_statement&) = default;
};

/// How a forwarded statement ended.
struct forwarded_outcome {
    sessions::server_answer answer;
    server_name server;
    int attempts = 0;
    std::string form; ///< which proof let the server run it
    std::optional<machines::log_position> required;
    std::uint64_t transaction = 0; ///< the one that the first statement has opened; 0: none
    bool transaction_over = false;

    friend bool operator==(const forwarded_outcome&, const forwarded_outcome&) = default;
};

} // namespace oriole::entry
