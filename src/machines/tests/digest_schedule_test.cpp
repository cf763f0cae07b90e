#include "machines/digest_schedule.h"

#include "machines/watch_assignment.h"

#include <gtest/gtest.h>

namespace oriole::machines {
namespace {

class digest_schedule_test : public testing::Test {
protected:
    digest_schedule_test() {
        for (const auto* name : {"i1", "i2", "i3", "i4"}) {
            m_instances.push_back(
                instance::builder().id(instance_id{name}).zone(zone_name{"zone-a"}).build());
        }
        m_watchers = make_watch_assignment()->watchers(m_digest.database, m_instances);
        m_schedule = make_digest_schedule(m_watchers.front());
        (void)m_schedule->due({m_digest}, m_instances, m_now);
    }

    [[nodiscard]] digest_deliveries due_after(std::chrono::milliseconds time) {
        m_now += time;
        return m_schedule->due({m_digest}, m_instances, m_now);
    }

    database_digest m_digest = [] {
        database_digest digest;
        digest.database = database_name{"db"};
        digest.term = 1;
        digest.primary = server_name{"s1"};
        return digest;
    }();
    std::vector<instance> m_instances;
    std::vector<instance_id> m_watchers;
    std::unique_ptr<digest_schedule> m_schedule;
    clock::time_point m_now{std::chrono::seconds(100)};
};

// Guards against a digest after every probe round although nothing has changed.
TEST_F(digest_schedule_test, unchanged_digest_is_not_sent_at_once) {
    EXPECT_TRUE(due_after(std::chrono::milliseconds(100)).empty());
}

// Guards against missing digests to the instances of the zone that do not watch the database: they
// would route its reads by outdated log positions.
TEST_F(digest_schedule_test, non_watchers_of_zone_are_refreshed) {
    const auto deliveries = due_after(std::chrono::milliseconds(250));
    EXPECT_EQ(deliveries.size(), 2U);
    EXPECT_FALSE(deliveries.contains(m_watchers.back()));
}

// Guards against failure evidence that waits for the next refresh and so delays a failover.
TEST_F(digest_schedule_test, evidence_reaches_other_watchers_at_once) {
    m_digest.evidence = failure_evidence{m_digest.database, *m_digest.primary, 1,
                                         m_watchers.front(), std::chrono::milliseconds(400)};
    EXPECT_TRUE(due_after(std::chrono::milliseconds(10)).contains(m_watchers.back()));
    EXPECT_TRUE(due_after(std::chrono::milliseconds(100)).contains(m_watchers.back()));
}

// Guards against instances of the zone that learn of a new primary only with the next refresh.
TEST_F(digest_schedule_test, new_primary_reaches_all_instances_of_zone_at_once) {
    m_digest.term = 2;
    m_digest.primary = server_name{"s2"};
    EXPECT_EQ(due_after(std::chrono::milliseconds(10)).size(), 3U);
}

} // namespace
} // namespace oriole::machines
