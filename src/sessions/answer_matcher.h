#pragma once

#include "sessions/types/answer_mismatch.h"
#include "sessions/types/server_command.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace oriole::sessions {

/// Decides for each answer on one connection whether it is the answer to the oldest unanswered
/// command. Servers answer commands in sequence, nothing in an answer names its command, and a
/// server may repeat any answer at any later time, in another state. What tells the answers apart:
///
/// - Each success of a caller's statement has a signature that no other statement's success has.
/// - All other successes have none, so one that takes the place of another is noticed at the next
///   signed answer at the latest.
/// - An error has neither. It is certain if no answer before it can be mistaken for it, and is
///   confirmed otherwise: the answers to the commands of connection_confirmation.h then arrive
///   next. After any error the connection has to be confirmed before its next use, as the error may
///   have left its own command's answer behind.
///
/// Not thread-safe; owned by the connection.
class answer_matcher {
public:
    /// Records that the command is sent.
    void sent(const server_command& command);

    /// Returns nullopt if the answer is that of the oldest unanswered command. Otherwise nothing
    /// that arrives on the connection can be attributed any more, and it has to be closed.
    [[nodiscard]] std::optional<answer_mismatch> received(const server_answer& answer);

    /// Whether a command has not been answered yet.
    [[nodiscard]] bool answer_due() const noexcept { return !m_due.empty(); }

    /// The statement id of the oldest unanswered command; empty for the instance's own commands.
    [[nodiscard]] std::string due_id() const { return m_due.empty() ? std::string() : m_due[0].id; }

    /// Whether the connection must not be used for another statement or transaction: it has
    /// received an answer that did not match, or as many signatures as are remembered.
    [[nodiscard]] bool used_up() const noexcept;

    /// Whether the last error can only be that of its command.
    [[nodiscard]] bool error_is_certain() const noexcept { return m_error_is_certain; }

    /// Whether an error was received since the connection was opened or confirmed.
    [[nodiscard]] bool needs_confirmation() const noexcept { return m_needs_confirmation; }

    /// Records that the confirmation's commands were answered without an error. Precondition: no
    /// answer is due.
    void confirmed() noexcept;

    /// The transaction state after the last answer.
    [[nodiscard]] transaction_state state() const noexcept { return m_state; }

private:
    /// What the checks need to know of a command.
    struct due_command {
        command_kind kind = command_kind::caller_statement;
        std::string id;
        bool changes_data = false;
        bool ends_transaction = false;
    };

    [[nodiscard]] std::optional<answer_mismatch> check_error(const due_command& command,
                                                             const server_answer& answer) const;
    [[nodiscard]] std::optional<answer_mismatch> check_signed(const due_command& command,
                                                              const server_answer& answer);
    [[nodiscard]] std::optional<answer_mismatch> check_unsigned(const due_command& command,
                                                                const server_answer& answer);
    /// The state to which the success of the command leads; nullopt if it cannot succeed.
    [[nodiscard]] std::optional<transaction_state>
    state_after(const due_command& command) const noexcept;

    std::deque<due_command> m_due;
    std::vector<std::uint64_t> m_signatures; ///< hashes of all signatures that were received
    transaction_state m_state = transaction_state::none; ///< after the last answer
    bool m_has_unsigned = false;                         ///< an unsigned success was received
    /// A success since the last signed one may be the repetition of an earlier one, so that an
    /// answer may be outstanding although none is due.
    bool m_may_be_shifted = false;
    /// The same for a command that prepares the connection, whose error may come in its place.
    bool m_preparation_may_be_shifted = false;
    bool m_has_error = false;
    bool m_error_is_certain = false;
    bool m_needs_confirmation = false;
    bool m_has_mismatch = false;
};

} // namespace oriole::sessions
