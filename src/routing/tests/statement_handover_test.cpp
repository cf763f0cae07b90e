#include "routing/statement_handover.h"

#include <gtest/gtest.h>

namespace oriole::routing {
namespace {

class statement_handover_test : public testing::Test {
protected:
    statement_handover m_handover;
};

// Guards against a statement that is sent after its client was told that it was not run.
TEST_F(statement_handover_test, withdrawn_statement_is_not_handed_over) {
    EXPECT_TRUE(m_handover.withdraw());
    EXPECT_FALSE(m_handover.hand_over());
    EXPECT_TRUE(m_handover.withdrawn_unsent());
}

// Guards against a promise that a statement was not run, although a server has it.
TEST_F(statement_handover_test, statement_that_was_sent_is_not_withdrawn_unsent) {
    EXPECT_TRUE(m_handover.hand_over());
    EXPECT_FALSE(m_handover.withdraw());
    EXPECT_FALSE(m_handover.hand_over());
    EXPECT_FALSE(m_handover.withdrawn_unsent());
}

// Guards against a statement that is in doubt although the server has refused it.
TEST_F(statement_handover_test, refused_statement_is_withdrawn_unsent) {
    EXPECT_TRUE(m_handover.hand_over());
    m_handover.take_back();
    EXPECT_TRUE(m_handover.withdraw());
    EXPECT_FALSE(m_handover.hand_over());
}

} // namespace
} // namespace oriole::routing
