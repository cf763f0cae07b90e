#include "sessions/answer_matcher.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oriole::sessions {
namespace {

server_command make_command(command_kind kind) {
    server_command command;
    command.kind = kind;
    return command;
}

server_command make_statement(bool ends_transaction = false) {
    server_command command;
    command.id = "5c0e";
    command.ends_transaction = ends_transaction;
    return command;
}

server_answer make_answer(const std::string& signature,
                          transaction_state state = transaction_state::none) {
    server_answer answer;
    answer.signature = signature;
    answer.state = state;
    return answer;
}

server_answer make_error(answer_code code, transaction_state state = transaction_state::none) {
    server_answer answer;
    answer.code = code;
    answer.signature = "i-7f";
    answer.state = state;
    return answer;
}

std::string numbered_signature(int number) {
    return std::string("s").append(std::to_string(number));
}

class answer_matcher_test : public testing::Test {
protected:
    std::optional<answer_mismatch> exchange(const server_command& command,
                                            const server_answer& answer) {
        m_matcher.sent(command);
        return m_matcher.received(answer);
    }

    answer_matcher m_matcher;
};

// Guards against rejecting what a server answers to a session's usual sequence of commands.
TEST_F(answer_matcher_test, answers_in_sequence_match) {
    const auto open = transaction_state::open;
    EXPECT_EQ(exchange(make_command(command_kind::set_value), make_answer("")), std::nullopt);
    EXPECT_EQ(exchange(make_statement(), make_answer("s1")), std::nullopt);
    EXPECT_EQ(exchange(make_command(command_kind::begin), make_answer("", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(), make_answer("s2", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true), make_answer("s3")), std::nullopt);
    EXPECT_EQ(exchange(make_command(command_kind::begin_read), make_answer("", open)),
              std::nullopt);
    EXPECT_EQ(exchange(make_command(command_kind::rollback), make_answer("")), std::nullopt);
    EXPECT_FALSE(m_matcher.used_up());
    EXPECT_FALSE(m_matcher.answer_due());
}

// Guards against a caller that gets the answer to an earlier statement.
TEST_F(answer_matcher_test, signature_of_an_earlier_answer_does_not_match) {
    EXPECT_EQ(exchange(make_statement(), make_answer("s1")), std::nullopt);
    EXPECT_EQ(exchange(make_statement(), make_answer("s2")), std::nullopt);
    EXPECT_EQ(exchange(make_statement(), make_answer("s1")), answer_mismatch::signature_repeated);
    EXPECT_TRUE(m_matcher.used_up());
}

// Guards against a repeated answer to a command of the instance that acknowledges a write, and one
// to a statement that acknowledges a session value.
TEST_F(answer_matcher_test, success_with_and_without_a_signature_are_told_apart) {
    EXPECT_EQ(exchange(make_statement(), make_answer("")), answer_mismatch::signature_missing);
    answer_matcher other;
    other.sent(make_command(command_kind::set_value));
    EXPECT_EQ(other.received(make_answer("s1")), answer_mismatch::signature_unexpected);
}

// Guards against a row that is delivered although its command returns none.
TEST_F(answer_matcher_test, rows_match_only_commands_that_return_them) {
    auto answer = make_answer("");
    answer.rows = {"replica 3 3.1209 0 12 2 17"};
    EXPECT_EQ(exchange(make_command(command_kind::status), answer), std::nullopt);
    EXPECT_EQ(exchange(make_command(command_kind::rollback), answer),
              answer_mismatch::rows_unexpected);
}

// Guards against the crash of 2026-12-06 and its like: a state to which the command does not lead.
TEST_F(answer_matcher_test, state_that_the_command_does_not_lead_to_does_not_match) {
    const auto impossible = answer_mismatch::state_impossible;
    const auto open = transaction_state::open;
    for (const auto& [command, answer] : std::vector<std::pair<server_command, server_answer>>{
             {make_statement(), make_answer("s1", open)},
             {make_statement(), make_answer("s1", transaction_state::failed)},
             {make_statement(true), make_answer("s1")},
             {make_command(command_kind::begin), make_answer("")},
             {make_command(command_kind::set_value), make_answer("", open)},
             {make_command(command_kind::rollback), make_answer("", open)},
             {make_statement(), make_error(answer_code::busy, open)}}) {
        answer_matcher matcher;
        matcher.sent(command);
        EXPECT_EQ(matcher.received(answer), impossible);
    }
    ASSERT_EQ(exchange(make_command(command_kind::begin), make_answer("", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(), make_error(answer_code::read_only)), impossible);
}

// Guards against a connection whose memory grows with each statement, or that forgets signatures.
TEST_F(answer_matcher_test, connection_is_used_up_when_no_more_signatures_are_remembered) {
    int statements = 0;
    while (!m_matcher.used_up()) {
        ASSERT_EQ(exchange(make_statement(), make_answer(numbered_signature(statements++))),
                  std::nullopt);
        ASSERT_LE(statements, 10'000);
    }
    EXPECT_EQ(exchange(make_statement(), make_answer("s0")), answer_mismatch::signature_repeated);
}

} // namespace
} // namespace oriole::sessions
