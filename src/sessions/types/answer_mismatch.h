#pragma once

#include <string_view>

namespace oriole::sessions {

/// Why a server's answer cannot be taken for the answer to the oldest unanswered command.
enum class answer_mismatch {
    no_command_due,       ///< every command has been answered
    signature_missing,    ///< the success of a caller's statement is signed
    signature_unexpected, ///< the success of the instance's own command is not signed
    signature_repeated,   ///< an earlier answer on the connection had the signature
    rows_unexpected,      ///< the command returns no rows
    state_impossible,     ///< the command does not lead to the answer's transaction state
    confirmation_refused  ///< the connection's confirmation got an error
};

[[nodiscard]] std::string_view to_string(answer_mismatch mismatch) noexcept;

} // namespace oriole::sessions
