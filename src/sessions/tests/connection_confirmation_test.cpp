#include "sessions/connection_confirmation.h"

#include <gtest/gtest.h>

#include <set>

namespace oriole::sessions {
namespace {

/// The transaction states of the answers to the commands.
std::vector<transaction_state> states_of(const std::vector<server_command>& commands) {
    std::vector<transaction_state> states;
    states.reserve(commands.size());
    for (const auto& command : commands) {
        states.push_back(command.kind == command_kind::begin_read ? transaction_state::open
                                                                  : transaction_state::none);
    }
    return states;
}

class connection_confirmation_test : public testing::Test {};

// Guards against answers to one confirmation that, repeated, are taken for those to another one.
TEST_F(connection_confirmation_test, each_pattern_has_its_own_sequence_of_states) {
    std::set<std::vector<transaction_state>> sequences;
    for (std::uint32_t pattern = 0; pattern < 1U << 16U; ++pattern) {
        const auto commands =
            confirmation_commands(transaction_state::none, static_cast<std::uint16_t>(pattern));
        sequences.insert(states_of(commands));
    }
    EXPECT_EQ(sequences.size(), 1U << 16U);
}

// Guards against a transaction that stays open, and against session values of which it is not known
// whether they are set.
TEST_F(connection_confirmation_test, connection_ends_without_transaction_and_values) {
    for (const std::uint16_t pattern : {0, 1, 0xFFFF}) {
        const auto commands = confirmation_commands(transaction_state::open, pattern);
        EXPECT_EQ(commands.front().kind, command_kind::rollback);
        EXPECT_EQ(commands.back().kind, command_kind::reset);
        EXPECT_EQ(states_of(commands).back(), transaction_state::none);
    }
}

} // namespace
} // namespace oriole::sessions
