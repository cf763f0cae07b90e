#include "contracts/types/session_token.h"

#include <gtest/gtest.h>

namespace oriole::contracts {
namespace {

class session_token_test : public testing::Test {
protected:
    database_name m_database{"diary-1"};
    session_token m_empty;
};

// Guards against a session that loses its newest write position when an older response arrives
// later.
TEST_F(session_token_test, older_position_keeps_newer_one) {
    const auto token = m_empty.with(m_database, {2, 7}).with(m_database, {1, 9});
    EXPECT_EQ(token.position(m_database), machines::log_position(2, 7));
}

// Guards against a read that waits for a write to a database that the session never wrote to.
TEST_F(session_token_test, database_without_write_has_no_position) {
    const auto token = m_empty.with(m_database, {1, 1});
    EXPECT_FALSE(token.position(database_name{"diary-2"}).has_value());
}

} // namespace
} // namespace oriole::contracts
