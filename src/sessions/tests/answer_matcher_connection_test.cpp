#include "answer_matcher_fixture.h"

namespace oriole::sessions {
namespace {

/// What a connection may still be used for after its answers.
class answer_matcher_connection_test : public answer_matcher_fixture {};

// Guards against the repetition of an error that is taken for the answer to a later write, which is
// then run a second time.
TEST_F(answer_matcher_connection_test, only_the_first_error_is_certain) {
    EXPECT_EQ(exchange(make_statement(), make_error(answer_code::busy)), std::nullopt);
    EXPECT_TRUE(m_matcher.error_is_certain());
    m_matcher.confirmed();
    EXPECT_EQ(exchange(make_statement(), make_error(answer_code::busy)), std::nullopt);
    EXPECT_FALSE(m_matcher.error_is_certain());
}

// Guards against a read that gets the answer to the read before it, which had got the error of an
// earlier command.
TEST_F(answer_matcher_connection_test, each_error_needs_a_confirmation) {
    EXPECT_FALSE(m_matcher.needs_confirmation());
    EXPECT_EQ(exchange(make_statement(), make_error(answer_code::busy)), std::nullopt);
    EXPECT_TRUE(m_matcher.needs_confirmation());
    EXPECT_EQ(exchange(make_statement(), make_answer("s1")), std::nullopt);
    EXPECT_TRUE(m_matcher.needs_confirmation());
    m_matcher.confirmed();
    EXPECT_FALSE(m_matcher.needs_confirmation());
    EXPECT_EQ(exchange(make_statement(), make_error(answer_code::busy)), std::nullopt);
    EXPECT_TRUE(m_matcher.needs_confirmation());
}

// Guards against a promise to a write that comes from the refusal of a command before it, while the
// repetition of an earlier answer stands in its place.
TEST_F(answer_matcher_connection_test,
       error_of_a_write_behind_indistinguishable_answers_is_not_certain) {
    m_matcher.sent(make_command(command_kind::set_value));
    m_matcher.sent(make_command(command_kind::prepare));
    m_matcher.sent(make_statement(true));
    EXPECT_EQ(m_matcher.received(make_answer("")), std::nullopt);
    EXPECT_EQ(m_matcher.received(make_answer("")), std::nullopt);
    EXPECT_EQ(m_matcher.received(make_error(answer_code::busy)), std::nullopt);
    EXPECT_FALSE(m_matcher.error_is_certain());
}

// Guards against a round trip for errors that can only be the write's own: behind the first answer
// without a signature, behind a signed one, and behind a confirmation.
TEST_F(answer_matcher_connection_test, error_of_a_write_on_a_connection_in_step_is_certain) {
    EXPECT_EQ(exchange(make_command(command_kind::set_value), make_answer("")), std::nullopt);
    auto first = m_matcher;
    EXPECT_EQ(exchange(make_command(command_kind::set_value), make_answer("")), std::nullopt);
    auto confirmed = m_matcher;
    confirmed.confirmed();
    EXPECT_EQ(exchange(make_statement(), make_answer("s1")), std::nullopt);
    for (auto& matcher : {&first, &confirmed, &m_matcher}) {
        matcher->sent(make_statement(true));
        EXPECT_EQ(matcher->received(make_error(answer_code::busy)), std::nullopt);
        EXPECT_TRUE(matcher->error_is_certain());
    }
}

// Guards against a connection whose memory grows with each statement, or that forgets signatures.
TEST_F(answer_matcher_connection_test,
       connection_is_used_up_when_no_more_signatures_are_remembered) {
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
