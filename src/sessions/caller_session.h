#pragma once

#include "machines/types/log_position.h"
#include "sessions/types/answer_code.h"
#include "sessions/types/prepared_shape.h"
#include "sessions/types/server_order.h"
#include "sessions/types/session_values.h"
#include "sessions/types/statement.h"

#include <map>
#include <optional>
#include <string>

namespace oriole::sessions {

/// What the session does with a statement.
enum class session_step {
    answer, ///< the instance answers with `code`
    run,    ///< a server runs it, inside the open transaction if there is one
    finish, ///< the open transaction commits at its server
    abandon ///< the open transaction rolls back, then the instance answers with `code`
};

struct session_decision {
    session_step step = session_step::answer;
    answer_code code = answer_code::ok;
    std::optional<prepared_shape> shape; ///< of an execute
    bool writes = false;
    bool starts_operation = false; ///< counts against the account's rate

    friend bool operator==(const session_decision&, const session_decision&) = default;
};

/// The state of one caller's session: its values, prepared statements and transaction. Knows no
/// socket and no codec. Not thread-safe; owned by the session's connection.
class caller_session {
public:
    /// Decides on the next statement. Changes nothing but values, names and the transaction that a
    /// begin opens or a rollback ends.
    [[nodiscard]] session_decision decide(const statement& next);

    /// A server acknowledged a commit or a single write of this session at `position`.
    void committed(const machines::log_position& position);

    /// The open transaction has ended.
    void transaction_ended() noexcept { m_state = transaction_state::none; }

    /// The open transaction cannot go on; the caller has to end it.
    void transaction_failed() noexcept { m_state = transaction_state::failed; }

    [[nodiscard]] transaction_state state() const noexcept { return m_state; }

    /// Whether the open transaction only reads, as its begin said.
    [[nodiscard]] bool reads_only() const noexcept { return m_reads_only; }

    [[nodiscard]] const session_values& values() const noexcept { return m_values; }

    [[nodiscard]] std::optional<machines::log_position> last_commit() const noexcept {
        return m_last_commit;
    }

private:
    [[nodiscard]] session_decision decide_in_failed(const statement& next);
    [[nodiscard]] session_decision decide_begin(const statement& next);
    [[nodiscard]] session_decision decide_execute(const statement& next);
    [[nodiscard]] session_decision decide_close(const statement& next);
    [[nodiscard]] session_decision reject(answer_code code);

    session_values m_values;
    std::map<std::string, prepared_shape> m_prepared;
    transaction_state m_state = transaction_state::none;
    bool m_reads_only = false;
    std::optional<machines::log_position> m_last_commit;
};

} // namespace oriole::sessions
