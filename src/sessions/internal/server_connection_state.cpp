#include "sessions/server_connection_state.h"

namespace oriole::sessions {
namespace {

/// Distance of a connection that needs a reset. A reset drops prepared statements that other
/// sessions use, so any connection that needs no reset is preferred.
constexpr int reset_distance = 1000;

/// A connection with this many prepared statements is reset, to bound the server's memory use.
constexpr std::size_t max_prepared = 256;

server_command set_value_command(const std::string& name, const std::string& value) {
    server_command command;
    command.kind = command_kind::set_value;
    command.name = name;
    command.text = value;
    return command;
}

} // namespace

std::vector<server_command>
server_connection_state::commands_for(const session_values& wanted,
                                      const prepared_statement* needed) const {
    std::vector<server_command> commands;
    const bool reset = needs_reset(wanted);
    if (reset) {
        server_command command;
        command.kind = command_kind::reset;
        commands.push_back(command);
    }
    for (const auto& [name, value] : wanted) {
        const auto current = m_values.find(name);
        if (reset || current == m_values.end() || current->second != value) {
            commands.push_back(set_value_command(name, value));
        }
    }
    if (needed != nullptr && (reset || !m_prepared.contains(*needed))) {
        server_command command;
        command.kind = command_kind::prepare;
        command.name = name_of(*needed);
        command.shape = *needed;
        commands.push_back(command);
    }
    return commands;
}

void server_connection_state::sent(const std::vector<server_command>& commands) {
    m_unacknowledged += commands.size();
}

void server_connection_state::acknowledge(const server_command& command) {
    m_unacknowledged -= m_unacknowledged > 0 ? 1 : 0;
    if (command.kind == command_kind::reset) {
        m_values.clear();
        m_prepared.clear();
    } else if (command.kind == command_kind::set_value) {
        m_values[command.name] = command.text;
    } else if (command.kind == command_kind::prepare) {
        m_prepared.insert(command.shape);
    }
}

int server_connection_state::distance(const session_values& wanted) const {
    if (needs_reset(wanted)) {
        return reset_distance;
    }
    int missing = 0;
    for (const auto& [name, value] : wanted) {
        const auto current = m_values.find(name);
        missing += current == m_values.end() || current->second != value ? 1 : 0;
    }
    return missing;
}

std::string server_connection_state::name_of(const prepared_statement& statement) {
    return (statement.writes ? "w-" : "r-") + statement.shape;
}

bool server_connection_state::needs_reset(const session_values& wanted) const {
    if (m_prepared.size() >= max_prepared) {
        return true;
    }
    for (const auto& [name, value] : m_values) {
        if (!wanted.contains(name)) {
            return true;
        }
    }
    return false;
}

} // namespace oriole::sessions
