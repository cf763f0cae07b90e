#include "fleet/server_directory.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

class server_directory_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    static store_revision rev(std::uint64_t number) { return {1, number}; }

    static registered_server make(const std::string& id, std::uint64_t revision) {
        registered_server server;
        server.id = server_name(id);
        server.revision = rev(revision);
        return server;
    }

    std::unique_ptr<server_directory> m_directory = make_server_directory();
};

// Guards against statements that are sent to a server whose entry was removed from the store.
TEST_F(server_directory_test, removed_entry_is_dropped_at_once_without_an_outage) {
    m_directory->replace({make("a", 1), make("b", 2)}, rev(2), at(1s));
    m_directory->remove(server_name("a"), rev(3), at(2s));
    ASSERT_EQ(m_directory->servers().size(), 1U);
    EXPECT_EQ(m_directory->servers().front().id, server_name("b"));
}

// Guards against an empty directory after a store outage during which all entries expired.
TEST_F(server_directory_test, entry_that_expired_in_an_outage_stays_for_the_grace_period) {
    m_directory->replace({make("a", 1), make("b", 2)}, rev(2), at(1s));
    m_directory->store_reconnected(at(10s));
    m_directory->replace({make("b", 8)}, rev(8), at(10s));
    EXPECT_EQ(m_directory->servers().size(), 2U);
    EXPECT_FALSE(m_directory->expire(at(11s)));
    EXPECT_TRUE(m_directory->expire(at(13s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against the removal of a server that registered again within the grace period.
TEST_F(server_directory_test, entry_that_returns_after_an_outage_stays) {
    m_directory->replace({make("a", 1)}, rev(2), at(1s));
    m_directory->store_reconnected(at(10s));
    m_directory->remove(server_name("a"), rev(8), at(10s));
    m_directory->update(make("a", 9), rev(9), at(11s));
    EXPECT_FALSE(m_directory->expire(at(13s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against a promotion that does not ask a replica which only lost its entry, and against one
// that waits for ever for a replica that has ended.
TEST_F(server_directory_test, removed_servers_are_known_for_a_while) {
    m_directory->replace({make("a", 1), make("b", 2), make("c", 2)}, rev(2), at(1s));
    m_directory->remove(server_name("a"), rev(3), at(20s));
    m_directory->remove(server_name("b"), rev(4), at(20s));
    m_directory->update(make("b", 5), rev(5), at(21s));
    const auto removed = m_directory->removed_since(at(10s));
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_EQ(removed.front().id, server_name("a"));
    EXPECT_TRUE(m_directory->removed_since(at(20s)).empty());
}

// Guards against a removed server that reappears because another instance sent an older list.
TEST_F(server_directory_test, older_list_changes_nothing) {
    m_directory->replace({make("a", 1)}, rev(9), at(1s));
    m_directory->replace({make("a", 1), make("b", 2)}, rev(5), at(2s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against the removal of a restarted server's new entry when the removal of its previous
// entry is reported late.
TEST_F(server_directory_test, late_removal_spares_a_newer_entry) {
    m_directory->update(make("a", 9), rev(9), at(1s));
    m_directory->remove(server_name("a"), rev(8), at(2s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

/// The directory when the store is restored from an older copy.
class restored_server_directory_test : public server_directory_test {
protected:
    static registered_server entry(std::uint64_t sequence, const store_revision& revision,
                                   bool draining = false) {
        auto server = make("a", 0);
        server.start_time_ms = 1000;
        server.sequence = sequence;
        server.revision = revision;
        server.draining = draining;
        return server;
    }

    registered_server only_server() {
        const auto servers = m_directory->servers();
        return servers.size() == 1 ? servers.front() : registered_server();
    }
};

// Guards against a draining server that is used again, because the copy still lists it as ready.
TEST_F(restored_server_directory_test, entry_of_the_copy_does_not_replace_a_newer_one) {
    m_directory->update(entry(9, {1, 30}, true), {1, 30}, at(1s));
    m_directory->replace({entry(7, {2, 20})}, {2, 27}, at(4s));
    EXPECT_TRUE(only_server().draining);
}

// Guards against a change that is ignored, because its revision was given out before the restore.
TEST_F(restored_server_directory_test, entry_written_after_the_restore_replaces_the_known_one) {
    m_directory->update(entry(7, {1, 30}), {1, 30}, at(1s));
    m_directory->update(entry(10, {2, 28}, true), {2, 28}, at(4s));
    EXPECT_TRUE(only_server().draining);
}

// Guards against an old primary that counts as newly reported, because its restored entry has a
// revision of the new era.
TEST_F(restored_server_directory_test, restored_entry_keeps_the_revision_of_its_write) {
    m_directory->replace({entry(7, {1, 20})}, {1, 30}, at(1s));
    m_directory->replace({entry(7, {2, 20})}, {2, 27}, at(4s));
    EXPECT_EQ(only_server().revision, (store_revision{1, 20}));
}

// Guards against a server that left before the restore and is used again, because the copy still
// has its entry.
TEST_F(restored_server_directory_test, removed_server_does_not_come_back_with_the_copy) {
    m_directory->replace({entry(7, {1, 20})}, {1, 20}, at(1s));
    m_directory->remove(server_name("a"), {1, 30}, at(2s));
    m_directory->replace({entry(7, {2, 20})}, {2, 27}, at(4s));
    EXPECT_TRUE(m_directory->servers().empty());
    m_directory->update(entry(8, {2, 28}), {2, 28}, at(5s));
    EXPECT_EQ(m_directory->servers().size(), 1U);
}

// Guards against a restarted server that stays unused, because its count of writes starts anew.
TEST_F(restored_server_directory_test, server_that_restarted_replaces_its_entry) {
    m_directory->replace({entry(9, {1, 30})}, {1, 30}, at(1s));
    auto restarted = entry(1, {2, 28});
    restarted.start_time_ms = 2000;
    m_directory->update(restarted, {2, 28}, at(4s));
    EXPECT_EQ(only_server().start_time_ms, 2000);
}

// Guards against servers that are given up, because they registered after the copy was made.
TEST_F(restored_server_directory_test, server_missing_in_the_copy_stays_for_the_grace_period) {
    m_directory->replace({entry(9, {1, 30})}, {1, 30}, at(1s));
    m_directory->replace({}, {2, 27}, at(4s));
    EXPECT_FALSE(m_directory->expire(at(5s)));
    EXPECT_EQ(m_directory->servers().size(), 1U);
    EXPECT_TRUE(m_directory->expire(at(7s)));
}

// Guards against a list of the earlier era, sent late by another instance, that replaces a newer
// one because its revision is higher.
TEST_F(restored_server_directory_test, list_of_the_earlier_era_changes_nothing) {
    m_directory->replace({entry(9, {2, 27}, true)}, {2, 27}, at(1s));
    m_directory->replace({entry(7, {1, 30})}, {1, 40}, at(2s));
    EXPECT_TRUE(only_server().draining);
}

} // namespace
} // namespace oriole::fleet
