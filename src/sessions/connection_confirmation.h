#pragma once

#include "sessions/types/server_command.h"

#include <cstdint>
#include <vector>

namespace oriole::sessions {

/// Commands whose answers show that no answer to an earlier command is outstanding on a connection.
/// Each bit of `pattern` selects a reset or an empty transaction. The answers' transaction states
/// then repeat the pattern, so that answers which the server repeats for other reasons than this
/// pattern are taken for them with a probability of 1 in 65,536 at most. They occupy none of the
/// server's execution slots, end the transaction of a connection in `state`, and drop its session
/// values and prepared statements.
[[nodiscard]] std::vector<server_command> confirmation_commands(transaction_state state,
                                                                std::uint16_t pattern);

} // namespace oriole::sessions
