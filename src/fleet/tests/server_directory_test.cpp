#include "fleet/server_directory.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

class server_directory_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    static listed_server make(const std::string& id, std::uint64_t revision) {
        listed_server server;
        server.id = server_name(id);
        server.revision = revision;
        return server;
    }

    std::unique_ptr<server_directory> m_directory = make_server_directory();
};

// Guards against statements that go to a server whose entry was removed.
TEST_F(server_directory_test, removed_entry_is_gone_at_once_while_the_store_is_well) {
    m_directory->replace({make("a", 1), make("b", 2)}, 2, at(1s));
    m_directory->remove(server_name("a"), 3, at(2s));
    ASSERT_EQ(m_directory->servers().size(), 1U);
    EXPECT_EQ(m_directory->servers().front().id, server_name("b"));
}

// Guards against an empty list after an outage in which all entries lapsed.
TEST_F(server_directory_test, entry_that_lapsed_in_an_outage_stays_until_it_had_time_to_return) {
    m_directory->replace({make("a", 1), make("b", 2)}, 2, at(1s));
    m_directory->store_regained(at(10s));
    m_directory->replace({make("b", 8)}, 8, at(10s));
    EXPECT_EQ(m_directory->servers().size(), 2U);
    EXPECT_FALSE(m_directory->expire(at(11s)));
    EXPECT_TRUE(m_directory->expire(at(13s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against a server that came back and is dropped all the same.
TEST_F(server_directory_test, entry_that_returns_after_an_outage_stays) {
    m_directory->replace({make("a", 1)}, 2, at(1s));
    m_directory->store_regained(at(10s));
    m_directory->remove(server_name("a"), 8, at(10s));
    m_directory->update(make("a", 9), 9, at(11s));
    EXPECT_FALSE(m_directory->expire(at(13s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against an older list, told by another instance, that brings back a removed server.
TEST_F(server_directory_test, older_list_changes_nothing) {
    m_directory->replace({make("a", 1)}, 9, at(1s));
    m_directory->replace({make("a", 1), make("b", 2)}, 5, at(2s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against a removal of the entry before that takes the newer entry of a restarted server.
TEST_F(server_directory_test, late_removal_spares_a_newer_entry) {
    m_directory->update(make("a", 9), 9, at(1s));
    m_directory->remove(server_name("a"), 8, at(2s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

} // namespace
} // namespace oriole::fleet
