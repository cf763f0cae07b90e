#pragma once

#include "machines/types/log_position.h"
#include "sessions/types/answer_code.h"
#include "sessions/types/prepared_statement.h"
#include "sessions/types/server_command.h"
#include "sessions/types/session_values.h"
#include "sessions/types/statement.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace oriole::sessions {

/// How the instance processes a statement of the session.
enum class session_step {
    answer,   ///< the instance answers with the decision's `code`; no server is involved
    run,      ///< a server runs the statement, inside the open transaction if there is one
    commit,   ///< the open transaction is committed at its server
    roll_back ///< the open transaction is rolled back, then the instance answers with `code`
};

/// The session's decision on one statement.
struct session_decision {
    session_step step = session_step::answer;
    answer_code code = answer_code::ok;
    std::optional<prepared_statement> shape; ///< prepared statement that an execute runs
    bool writes = false;                     ///< whether the statement to run may write
    bool starts_operation = false; ///< whether the statement counts against the rate limit

    friend bool operator==(const session_decision&, const session_decision&) = default;
};

/// The state of one caller's session: session values, prepared statements and transaction. It is
/// independent of sockets and message encoding. Not thread-safe; owned by the caller's connection.
class caller_session {
public:
    /// Decides how to process the next statement, and applies its changes to session values and
    /// prepared statements. Updates the transaction state for a begin, a rollback, the end of a
    /// failed transaction and a rejected statement. The caller of decide() reports all other
    /// changes of the transaction state.
    [[nodiscard]] session_decision decide(const statement& next);

    /// Records that a server acknowledged a commit, or a write outside a transaction, of this
    /// session at `position`.
    void committed(const machines::log_position& position);

    /// Records that the open transaction has ended.
    void transaction_ended() noexcept { m_state = transaction_state::none; }

    /// Records that the open transaction cannot continue; the caller has to end it.
    void transaction_failed() noexcept { m_state = transaction_state::failed; }

    [[nodiscard]] transaction_state state() const noexcept { return m_state; }

    /// Whether the open transaction was begun as read-only.
    [[nodiscard]] bool reads_only() const noexcept { return m_reads_only; }

    [[nodiscard]] const session_values& values() const noexcept { return m_values; }

    /// Bytes of the names and values that were set.
    [[nodiscard]] std::size_t value_bytes() const noexcept { return m_value_bytes; }

    /// Bytes of all that the session keeps: values and prepared statements.
    [[nodiscard]] std::size_t state_bytes() const noexcept {
        return m_value_bytes + m_prepared_bytes;
    }

    /// The highest log position of the session's acknowledged commits.
    [[nodiscard]] std::optional<machines::log_position> last_commit() const noexcept {
        return m_last_commit;
    }

private:
    [[nodiscard]] session_decision decide_in_failed(const statement& next);
    [[nodiscard]] session_decision decide_begin(const statement& next);
    [[nodiscard]] session_decision decide_execute(const statement& next);
    [[nodiscard]] session_decision decide_close(const statement& next);
    void set_value(const statement& next);
    void prepare(const statement& next);
    [[nodiscard]] session_decision reject(answer_code code);

    session_values m_values;
    std::map<std::string, prepared_statement> m_prepared;
    std::size_t m_value_bytes = 0;
    std::size_t m_prepared_bytes = 0;
    transaction_state m_state = transaction_state::none;
    bool m_reads_only = false;
    std::optional<machines::log_position> m_last_commit;
};

} // namespace oriole::sessions
