#include "entry/internal/unfinished_statement.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using sessions::answer_code;

class unfinished_statement_test : public testing::Test {
protected:
    unfinished_statement_test() { m_statement.may_have_been_sent = true; }

    unfinished_statement m_statement;
};

// Guards against a promise that a write is not kept, although it may have run.
TEST_F(unfinished_statement_test, sent_write_is_in_doubt) {
    m_statement.starts_operation = true;
    m_statement.writes = true;
    EXPECT_EQ(code_without_result(m_statement), answer_code::in_doubt);
}

// Guards against a promise that a transaction is rolled back, although it may be committed.
TEST_F(unfinished_statement_test, sent_commit_of_a_write_is_in_doubt) {
    m_statement.in_transaction = true;
    m_statement.commits = true;
    m_statement.transaction_wrote = true;
    EXPECT_EQ(code_without_result(m_statement), answer_code::in_doubt);
}

// Guards against an answer that keeps a client from repeating what changed nothing.
TEST_F(unfinished_statement_test, statements_that_commit_no_change_are_aborted) {
    EXPECT_EQ(code_without_result(m_statement), answer_code::aborted);
    m_statement.in_transaction = true;
    m_statement.commits = true;
    EXPECT_EQ(code_without_result(m_statement), answer_code::aborted);
    m_statement.commits = false;
    m_statement.writes = true;
    m_statement.transaction_wrote = true;
    EXPECT_EQ(code_without_result(m_statement), answer_code::aborted);
}

// Guards against an answer that keeps a client from repeating what no server has received.
TEST_F(unfinished_statement_test, statements_that_were_not_sent_are_refused) {
    m_statement.may_have_been_sent = false;
    m_statement.writes = true;
    m_statement.starts_operation = true;
    EXPECT_EQ(code_without_result(m_statement), answer_code::busy);
    m_statement.starts_operation = false;
    m_statement.in_transaction = true;
    m_statement.commits = true;
    m_statement.transaction_wrote = true;
    EXPECT_EQ(code_without_result(m_statement), answer_code::aborted);
}

} // namespace
} // namespace oriole::entry
