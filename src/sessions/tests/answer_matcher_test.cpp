#include "answer_matcher_fixture.h"

#include <utility>
#include <vector>

namespace oriole::sessions {
namespace {

/// Which answers match a command.
class answer_matcher_test : public answer_matcher_fixture {};

// Guards against a commit that is said to be in doubt, because the server that refuses it also ends
// its transaction.
TEST_F(answer_matcher_test, refused_commit_may_end_its_transaction) {
    const auto open = transaction_state::open;
    const auto refused = make_error(answer_code::read_only);
    EXPECT_EQ(exchange(make_command(command_kind::begin), make_answer("", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true), make_answer("s1", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true, true), refused), std::nullopt);
}

// Guards against the refusal of a begin that is taken for that of the write behind it, which may
// have run outside of a transaction.
TEST_F(answer_matcher_test, refused_write_does_not_end_its_transaction) {
    const auto open = transaction_state::open;
    const auto refused = make_error(answer_code::read_only);
    EXPECT_EQ(exchange(make_command(command_kind::begin), make_answer("", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true), refused), answer_mismatch::state_impossible);
}

// Guards against rejecting what a server answers to a session's usual sequence of commands.
TEST_F(answer_matcher_test, answers_in_sequence_match) {
    const auto open = transaction_state::open;
    EXPECT_EQ(exchange(make_command(command_kind::set_value), make_answer("")), std::nullopt);
    EXPECT_EQ(exchange(make_statement(), make_answer("s1")), std::nullopt);
    EXPECT_EQ(exchange(make_command(command_kind::begin), make_answer("", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true), make_answer("s2", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true, true), make_answer("s3")), std::nullopt);
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
    EXPECT_EQ(exchange(make_statement(true), make_answer("")), answer_mismatch::signature_missing);
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
             {make_statement(true), make_answer("s1", open)},
             {make_statement(), make_answer("s1", transaction_state::failed)},
             {make_statement(true, true), make_answer("s1")},
             {make_command(command_kind::begin), make_answer("")},
             {make_command(command_kind::set_value), make_answer("", open)},
             {make_command(command_kind::rollback), make_answer("", open)},
             {make_statement(), make_error(answer_code::busy, open)}}) {
        answer_matcher matcher;
        matcher.sent(command);
        EXPECT_EQ(matcher.received(answer), impossible);
    }
    ASSERT_EQ(exchange(make_command(command_kind::begin), make_answer("", open)), std::nullopt);
    EXPECT_EQ(exchange(make_statement(true), make_error(answer_code::read_only)), impossible);
}

} // namespace
} // namespace oriole::sessions
