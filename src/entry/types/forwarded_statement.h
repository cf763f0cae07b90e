#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/configuration.h"
#include "sessions/caller_session.h"
#include "sessions/types/server_command.h"
#include "sessions/types/statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriole::entry {

/// Position of a forwarded statement within its transaction.
enum class transaction_phase {
    autocommit, ///< not part of an explicit transaction
    first,      ///< first statement of a transaction
    next        ///< later statement of a transaction, or its commit
};

/// A statement that an instance forwards to a gateway for execution.
struct forwarded_statement {
    transaction_phase phase = transaction_phase::autocommit;
    bool reads_only = false; ///< the transaction only reads; set in its first statement
    /// Id that the gateway gave the transaction; set in its later statements.
    std::uint64_t transaction = 0;
    fleet::route route;
    account_name account;
    sessions::statement statement;
    sessions::session_decision decision;
    sessions::session_values values;
    std::optional<machines::log_position> own_commit;
    clock::duration elapsed{}; ///< time since the statement arrived from the client

    friend bool operator==(const forwarded_statement&, const forwarded_statement&) = default;
};

/// Result of a forwarded statement.
struct forwarded_outcome {
    sessions::server_answer answer;
    server_name server;
    int attempts = 0;
    /// Rule by which the server was chosen, such as "position" or "lead".
    std::string routing_basis;
    std::optional<machines::log_position> required;
    /// Id of the transaction that the first statement opened; 0 for none.
    std::uint64_t transaction = 0;
    bool transaction_finished = false;
    /// The server's answer is too long for a message between instances. The code tells what is
    /// kept.
    bool answer_too_long = false;

    friend bool operator==(const forwarded_outcome&, const forwarded_outcome&) = default;
};

} // namespace oriole::entry
