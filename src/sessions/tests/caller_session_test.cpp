#include "sessions/caller_session.h"

#include <gtest/gtest.h>

namespace oriole::sessions {
namespace {

class caller_session_test : public testing::Test {
protected:
    static statement make(statement_kind kind, const std::string& name = {},
                          const std::string& argument = {}) {
        statement value;
        value.id = "1";
        value.kind = kind;
        value.name = name;
        value.argument = argument;
        return value;
    }

    session_decision decide(statement_kind kind, const std::string& name = {},
                            const std::string& argument = {}) {
        return m_session.decide(make(kind, name, argument));
    }

    void prepare(const std::string& name, const std::string& shape, bool writes) {
        auto value = make(statement_kind::prepare, name);
        value.shape = shape;
        value.writes = writes;
        ASSERT_EQ(m_session.decide(value).code, answer_code::ok);
    }

    caller_session m_session;
};

// Guards against a transaction that is charged against the rate limit again for each of its
// statements.
TEST_F(caller_session_test, read_in_a_transaction_starts_no_operation) {
    EXPECT_TRUE(decide(statement_kind::read).starts_operation);
    EXPECT_TRUE(decide(statement_kind::begin).starts_operation);
    EXPECT_FALSE(decide(statement_kind::read).starts_operation);
}

// Guards against a commit that is acknowledged although there is no transaction to commit.
TEST_F(caller_session_test, commit_without_a_transaction_is_malformed) {
    const auto decision = decide(statement_kind::commit);
    EXPECT_EQ(decision.step, session_step::answer);
    EXPECT_EQ(decision.code, answer_code::malformed);
}

// Guards against statements that run in a transaction in which an earlier statement has failed.
TEST_F(caller_session_test, failed_transaction_refuses_all_but_commit_and_rollback) {
    static_cast<void>(decide(statement_kind::begin));
    m_session.transaction_failed();
    EXPECT_EQ(decide(statement_kind::read).code, answer_code::malformed);
    EXPECT_EQ(decide(statement_kind::set_value, "a", "1").code, answer_code::malformed);
    EXPECT_EQ(m_session.state(), transaction_state::failed);
    EXPECT_EQ(decide(statement_kind::rollback).code, answer_code::ok);
    EXPECT_EQ(m_session.state(), transaction_state::none);
}

// Guards against a commit that is answered as successful although the transaction was rolled back.
TEST_F(caller_session_test, commit_of_a_failed_transaction_is_answered_as_aborted) {
    static_cast<void>(decide(statement_kind::begin));
    m_session.transaction_failed();
    EXPECT_EQ(decide(statement_kind::commit).code, answer_code::aborted);
    EXPECT_EQ(m_session.state(), transaction_state::none);
}

// Guards against an execute that runs a statement prepared by another session under the same name.
TEST_F(caller_session_test, execute_of_an_unknown_name_is_refused_without_a_server) {
    const auto decision = decide(statement_kind::execute, "s1", "x");
    EXPECT_EQ(decision.step, session_step::answer);
    EXPECT_EQ(decision.code, answer_code::unknown_name);
}

// Guards against a prepared write that is treated as a read and sent to a replica.
TEST_F(caller_session_test, execute_of_a_prepared_write_writes) {
    prepare("s1", "q", true);
    const auto decision = decide(statement_kind::execute, "s1", "x");
    EXPECT_EQ(decision.step, session_step::run);
    EXPECT_TRUE(decision.writes);
    EXPECT_EQ(decision.shape, (prepared_statement{"q", true}));
}

// Guards against a prepared statement that can still be executed after it was closed.
TEST_F(caller_session_test, closed_name_is_unknown) {
    prepare("s1", "q", false);
    EXPECT_EQ(decide(statement_kind::close_prepared, "s1").code, answer_code::ok);
    EXPECT_EQ(decide(statement_kind::close_prepared, "s1").code, answer_code::unknown_name);
}

// Guards against a malformed statement inside a transaction that leaves it open at the server.
TEST_F(caller_session_test, malformed_statement_rolls_back_the_transaction) {
    static_cast<void>(decide(statement_kind::begin));
    const auto decision = decide(statement_kind::malformed);
    EXPECT_EQ(decision.step, session_step::roll_back);
    EXPECT_EQ(decision.code, answer_code::malformed);
    EXPECT_EQ(m_session.state(), transaction_state::failed);
}

// Guards against a session that loses the position of its newest write when an older answer arrives
// late.
TEST_F(caller_session_test, last_commit_never_goes_back) {
    m_session.committed({2, 9});
    m_session.committed({2, 7});
    EXPECT_EQ(m_session.last_commit(), machines::log_position(2, 9));
}

// Guards against sessions whose names and values take memory that nobody counts, or that stay
// counted after they were replaced or closed.
TEST_F(caller_session_test, state_bytes_follow_values_and_prepared_statements) {
    EXPECT_EQ(m_session.state_bytes(), 0U);
    static_cast<void>(decide(statement_kind::set_value, "name", std::string(1000, 'x')));
    const auto value_bytes = m_session.value_bytes();
    EXPECT_GE(value_bytes, 1004U);
    prepare("statement", std::string(100, 'q'), false);
    EXPECT_GE(m_session.state_bytes(), value_bytes + 109);
    prepare("statement", "q", false);
    static_cast<void>(decide(statement_kind::close_prepared, "statement"));
    EXPECT_EQ(m_session.state_bytes(), value_bytes);
    static_cast<void>(decide(statement_kind::set_value, "name", "x"));
    EXPECT_EQ(m_session.state_bytes(), value_bytes - 999);
}

} // namespace
} // namespace oriole::sessions
