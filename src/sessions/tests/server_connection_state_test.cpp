#include "sessions/server_connection_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace oriole::sessions {
namespace {

class server_connection_state_test : public testing::Test {
protected:
    /// Applies the commands to the simulated server and acknowledges them.
    void execute_commands(const std::vector<server_command>& commands) {
        for (const auto& command : commands) {
            if (command.kind == command_kind::reset) {
                m_server_values.clear();
                m_server_statements.clear();
            } else if (command.kind == command_kind::set_value) {
                m_server_values[command.name] = command.text;
            } else if (command.kind == command_kind::prepare) {
                m_server_statements[command.name] = command.shape;
            }
            m_state.acknowledge(command);
        }
    }

    server_connection_state m_state;
    session_values m_server_values;
    std::map<std::string, prepared_statement> m_server_statements;
};

// Guards against a statement that runs with session values of a session that used the connection
// before.
RC_GTEST_FIXTURE_PROP(server_connection_state_test, any_sequence_of_sessions_sees_its_own_values,
                      ()) {
    // Each session's values of three names; 0 means that the name is not set.
    const auto sessions = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 3)));
    for (const auto& chosen : sessions) {
        session_values wanted;
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            if (chosen[i] != 0) {
                wanted[std::string(1, static_cast<char>('a' + i))] = std::to_string(chosen[i]);
            }
        }
        const prepared_statement shape{"q" + std::to_string(wanted.size()), wanted.size() % 2 == 1};
        execute_commands(m_state.commands_for(wanted, &shape));
        RC_ASSERT(m_server_values == wanted);
        const auto prepared = m_server_statements.find(server_connection_state::name_of(shape));
        RC_ASSERT(prepared != m_server_statements.end());
        RC_ASSERT(prepared->second == shape);
    }
}

// Guards against commands that count as executed although no acknowledgement was received.
TEST_F(server_connection_state_test, unacknowledged_commands_are_sent_again) {
    const session_values wanted{{"a", "1"}};
    EXPECT_EQ(m_state.commands_for(wanted, nullptr).size(), 1U);
    EXPECT_EQ(m_state.commands_for(wanted, nullptr).size(), 1U);
}

// Guards against a prepared read and a prepared write of the same shape that share a name at the
// server.
TEST_F(server_connection_state_test, reads_and_writes_of_a_shape_have_different_names) {
    EXPECT_NE(server_connection_state::name_of({"q", false}),
              server_connection_state::name_of({"q", true}));
}

// Guards against a pool that prefers a connection which needs a reset and would lose the prepared
// statements of other sessions.
TEST_F(server_connection_state_test, surplus_value_costs_more_than_missing_values) {
    execute_commands(m_state.commands_for({{"a", "1"}}, nullptr));
    EXPECT_GT(m_state.distance({}), m_state.distance({{"a", "2"}, {"b", "1"}, {"c", "1"}}));
}

} // namespace
} // namespace oriole::sessions
