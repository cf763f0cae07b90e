#include "sessions/connection_confirmation.h"

#include <limits>

namespace oriole::sessions {
namespace {

void add_command(std::vector<server_command>& commands, command_kind kind) {
    server_command command;
    command.kind = kind;
    commands.push_back(std::move(command));
}

} // namespace

std::vector<server_command> confirmation_commands(transaction_state state, std::uint16_t pattern) {
    std::vector<server_command> commands;
    if (state != transaction_state::none) {
        add_command(commands, command_kind::rollback);
    }
    for (int bit = 0; bit < std::numeric_limits<std::uint16_t>::digits; ++bit) {
        if ((pattern >> bit & 1) != 0) {
            add_command(commands, command_kind::begin_read);
            add_command(commands, command_kind::rollback);
        } else {
            add_command(commands, command_kind::reset);
        }
    }
    add_command(commands, command_kind::reset);
    return commands;
}

} // namespace oriole::sessions
