#include "fleet/server_directory.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

class server_directory_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    static registered_server make(const std::string& id, std::uint64_t revision) {
        registered_server server;
        server.id = server_name(id);
        server.revision = revision;
        return server;
    }

    std::unique_ptr<server_directory> m_directory = make_server_directory();
};

// Guards against statements that are sent to a server whose entry was removed from the store.
TEST_F(server_directory_test, removed_entry_is_dropped_at_once_without_an_outage) {
    m_directory->replace({make("a", 1), make("b", 2)}, 2, at(1s));
    m_directory->remove(server_name("a"), 3, at(2s));
    ASSERT_EQ(m_directory->servers().size(), 1U);
    EXPECT_EQ(m_directory->servers().front().id, server_name("b"));
}

// Guards against an empty directory after a store outage during which all entries expired.
TEST_F(server_directory_test, entry_that_expired_in_an_outage_stays_for_the_grace_period) {
    m_directory->replace({make("a", 1), make("b", 2)}, 2, at(1s));
    m_directory->store_reconnected(at(10s));
    m_directory->replace({make("b", 8)}, 8, at(10s));
    EXPECT_EQ(m_directory->servers().size(), 2U);
    EXPECT_FALSE(m_directory->expire(at(11s)));
    EXPECT_TRUE(m_directory->expire(at(13s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against the removal of a server that registered again within the grace period.
TEST_F(server_directory_test, entry_that_returns_after_an_outage_stays) {
    m_directory->replace({make("a", 1)}, 2, at(1s));
    m_directory->store_reconnected(at(10s));
    m_directory->remove(server_name("a"), 8, at(10s));
    m_directory->update(make("a", 9), 9, at(11s));
    EXPECT_FALSE(m_directory->expire(at(13s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against a removed server that reappears because another instance sent an older list.
TEST_F(server_directory_test, older_list_changes_nothing) {
    m_directory->replace({make("a", 1)}, 9, at(1s));
    m_directory->replace({make("a", 1), make("b", 2)}, 5, at(2s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against the removal of a restarted server's new entry when the removal of its previous
// entry is reported late.
TEST_F(server_directory_test, late_removal_spares_a_newer_entry) {
    m_directory->update(make("a", 9), 9, at(1s));
    m_directory->remove(server_name("a"), 8, at(2s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

} // namespace
} // namespace oriole::fleet
