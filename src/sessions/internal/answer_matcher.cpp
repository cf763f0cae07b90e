#include "sessions/answer_matcher.h"

#include <algorithm>
#include <functional>

namespace oriole::sessions {
namespace {

/// Number of signatures after which a connection is used up. It bounds the memory of a connection
/// to 8 KB, and opening one in its place is spread over as many statements.
constexpr std::size_t max_signatures = 1024;

/// Length to which statement ids, which come from callers, are cut for the log.
constexpr std::size_t max_id_length = 64;

bool is_callers_statement(command_kind kind) {
    return kind == command_kind::caller_statement || kind == command_kind::execute;
}

/// Whether the command sets up the connection for the statement that follows.
bool prepares(command_kind kind) {
    return kind == command_kind::reset || kind == command_kind::set_value ||
           kind == command_kind::prepare;
}

/// Whether the success of the command has a row with the server's status.
bool returns_status(command_kind kind) {
    return kind == command_kind::status || kind == command_kind::step_down ||
           kind == command_kind::pause_receiving || kind == command_kind::resume_receiving;
}

} // namespace

std::string_view to_string(answer_mismatch mismatch) noexcept {
    switch (mismatch) {
    case answer_mismatch::no_command_due:
        return "no_command_due";
    case answer_mismatch::signature_missing:
        return "signature_missing";
    case answer_mismatch::signature_unexpected:
        return "signature_unexpected";
    case answer_mismatch::signature_repeated:
        return "signature_repeated";
    case answer_mismatch::rows_unexpected:
        return "rows_unexpected";
    case answer_mismatch::state_impossible:
        return "state_impossible";
    case answer_mismatch::confirmation_refused:
        return "confirmation_refused";
    }
    return "unknown";
}

void answer_matcher::sent(const server_command& command) {
    m_due.push_back({command.kind, command.id.substr(0, max_id_length), command.changes_data,
                     command.ends_transaction});
}

std::optional<answer_mismatch> answer_matcher::received(const server_answer& answer) {
    std::optional<answer_mismatch> mismatch;
    if (m_due.empty()) {
        mismatch = answer_mismatch::no_command_due;
    } else if (answer.code != answer_code::ok) {
        mismatch = check_error(m_due.front(), answer);
        // Outside a transaction a write runs although a command before it was refused. In one, the
        // refusal fails the transaction.
        const bool may_be_earlier =
            m_state == transaction_state::none && m_preparation_may_be_shifted;
        m_error_is_certain = !m_has_error && !may_be_earlier;
        m_has_error = true;
        m_needs_confirmation = true;
    } else if (is_callers_statement(m_due.front().kind)) {
        mismatch = check_signed(m_due.front(), answer);
    } else {
        mismatch = check_unsigned(m_due.front(), answer);
    }
    if (mismatch) {
        m_has_mismatch = true;
        return mismatch;
    }
    m_due.pop_front();
    m_state = answer.state;
    return std::nullopt;
}

bool answer_matcher::used_up() const noexcept {
    return m_has_mismatch || m_signatures.size() >= max_signatures;
}

void answer_matcher::confirmed() noexcept {
    m_may_be_shifted = false;
    m_preparation_may_be_shifted = false;
    m_needs_confirmation = false;
}

std::optional<answer_mismatch> answer_matcher::check_error(const due_command& command,
                                                           const server_answer& answer) const {
    const bool may_open = m_state == transaction_state::open;
    if (answer.state == transaction_state::open && !may_open) {
        return answer_mismatch::state_impossible;
    }
    // An error fails the transaction, and may end it where the command does. Otherwise an error in
    // state I may be the answer to the begin.
    const bool may_end = command.ends_transaction && !m_may_be_shifted;
    if (answer.state == transaction_state::none && may_open && !may_end) {
        return answer_mismatch::state_impossible;
    }
    return std::nullopt;
}

std::optional<answer_mismatch> answer_matcher::check_signed(const due_command& command,
                                                            const server_answer& answer) {
    if (answer.signature.empty()) {
        return answer_mismatch::signature_missing;
    }
    const std::uint64_t hash = std::hash<std::string>{}(answer.signature);
    if (std::find(m_signatures.begin(), m_signatures.end(), hash) != m_signatures.end()) {
        return answer_mismatch::signature_repeated;
    }
    if (answer.state != state_after(command)) {
        return answer_mismatch::state_impossible;
    }
    m_signatures.push_back(hash);
    m_may_be_shifted = false;
    m_preparation_may_be_shifted = false;
    return std::nullopt;
}

std::optional<answer_mismatch> answer_matcher::check_unsigned(const due_command& command,
                                                              const server_answer& answer) {
    if (!answer.signature.empty()) {
        return answer_mismatch::signature_unexpected;
    }
    if (answer.rows.size() != (returns_status(command.kind) ? 1U : 0U)) {
        return answer_mismatch::rows_unexpected;
    }
    if (answer.state != state_after(command)) {
        return answer_mismatch::state_impossible;
    }
    m_may_be_shifted = m_may_be_shifted || m_has_unsigned;
    m_preparation_may_be_shifted =
        m_preparation_may_be_shifted || (m_has_unsigned && prepares(command.kind));
    m_has_unsigned = true;
    return std::nullopt;
}

std::optional<transaction_state>
answer_matcher::state_after(const due_command& command) const noexcept {
    if (command.kind == command_kind::rollback) {
        return transaction_state::none;
    }
    if (m_state == transaction_state::failed) {
        return std::nullopt;
    }
    if (command.kind == command_kind::begin || command.kind == command_kind::begin_read) {
        return m_state == transaction_state::none ? std::optional(transaction_state::open)
                                                  : std::nullopt;
    }
    if (command.ends_transaction) {
        return m_state == transaction_state::open ? std::optional(transaction_state::none)
                                                  : std::nullopt;
    }
    return m_state;
}

} // namespace oriole::sessions
