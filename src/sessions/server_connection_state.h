#pragma once

#include "sessions/types/prepared_statement.h"
#include "sessions/types/server_command.h"
#include "sessions/types/session_values.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriole::sessions {

/// The state of one connection to a backend server: the session values and prepared statements that
/// the server has acknowledged. Not thread-safe; owned by the connection.
class server_connection_state {
public:
    /// The commands that set the connection's session values to `wanted` and, unless `needed` is
    /// null, prepare `needed`. Values that are not in `wanted` can only be removed by a reset,
    /// which must not be sent inside a transaction. Precondition: inside a transaction, `wanted`
    /// contains every name that is set on the connection.
    [[nodiscard]] std::vector<server_command> commands_for(const session_values& wanted,
                                                           const prepared_statement* needed) const;

    /// Records that the commands were sent. Until all are acknowledged, the connection's actual
    /// state is unknown.
    void sent(const std::vector<server_command>& commands);

    /// Whether the server has acknowledged all commands that were sent.
    [[nodiscard]] bool all_acknowledged() const noexcept { return m_unacknowledged == 0; }

    /// Applies a sent command that the server has acknowledged.
    void acknowledge(const server_command& command);

    /// The cost of setting the session values to `wanted`: the number of commands, or a
    /// much higher number if a reset is needed. Used to choose a connection from the pool.
    [[nodiscard]] int distance(const session_values& wanted) const;

    /// The name under which the statement is prepared at servers; the same on every connection.
    [[nodiscard]] static std::string name_of(const prepared_statement& statement);

private:
    [[nodiscard]] bool needs_reset(const session_values& wanted) const;

    session_values m_values;
    std::set<prepared_statement> m_prepared;
    std::size_t m_unacknowledged = 0;
};

} // namespace oriole::sessions
