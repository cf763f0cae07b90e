#include "machines/replica_selector.h"

#include <gtest/gtest.h>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

class replica_selector_test : public testing::Test {
protected:
    void SetUp() override {
        m_view.database = database_name{"library-1"};
        m_view.term = 3;
        m_view.primary = m_primary;
        report(m_primary, {3, 100}, milliseconds(0));
        report(m_near, {3, 90}, milliseconds(50));
        report(m_far, {3, 95}, milliseconds(50));
        m_query.own_zone = zone_name{"a"};
        m_query.now = m_now;
        m_query.servers[m_primary].zone = zone_name{"b"};
        m_query.servers[m_near].zone = zone_name{"a"};
        m_query.servers[m_far].zone = zone_name{"c"};
    }

    void report(const server_name& server, log_position applied, milliseconds age) {
        m_view.reports[server] = {server, 3, server_role::replica, applied, applied, age, m_now};
    }

    server_name first() { return m_selector->rank(m_view, m_query).front().server; }

    server_name m_primary{"s1"};
    server_name m_near{"s2"};
    server_name m_far{"s3"};
    clock::time_point m_now{std::chrono::seconds(100)};
    database_view m_view;
    read_query m_query;
    std::unique_ptr<replica_selector> m_selector = make_replica_selector();
};

// Guards against reads that go to another zone although a replica in the own zone can answer.
TEST_F(replica_selector_test, read_without_position_goes_to_replica_in_own_zone) {
    EXPECT_EQ(first(), m_near);
}

// Guards against sending a read to a replica that is known to lack the session's last write.
TEST_F(replica_selector_test, replica_behind_position_ranks_after_one_that_has_it) {
    m_query.requirement.position = log_position{3, 94};
    const auto plan = m_selector->rank(m_view, m_query);
    EXPECT_EQ(plan[0].server, m_far);
    EXPECT_EQ(plan[1].server, m_primary);
    EXPECT_EQ(plan[2].suitability, read_suitability::behind);
}

// Guards against sending reads to the primary, and so overloading it, only because the replicas'
// last reports are up to one probe interval old.
TEST_F(replica_selector_test, entry_written_longer_ago_than_replica_age_counts_as_applied) {
    m_query.requirement.position = log_position{3, 99};
    m_view.progress = {{m_now - milliseconds(60), {3, 99}}};
    EXPECT_EQ(m_selector->rank(m_view, m_query).front().suitability, read_suitability::ready);
}

// Guards against reading at a slow primary when a replica is about to apply the entry.
TEST_F(replica_selector_test, replica_that_applies_before_slow_primary_answers_is_waited_for) {
    m_query.requirement.position = log_position{3, 99};
    m_query.servers[m_primary].latency = milliseconds(20);
    m_view.progress = {{m_now - milliseconds(47), {3, 99}}};
    const auto plan = m_selector->rank(m_view, m_query);
    EXPECT_EQ(plan[0], (read_candidate{m_near, read_suitability::short_wait, milliseconds(3)}));
}

// Guards against a read that waits long for a replica although the primary can answer it.
TEST_F(replica_selector_test, primary_answers_when_wait_would_be_long) {
    m_query.requirement.position = log_position{3, 99};
    EXPECT_EQ(first(), m_primary);
}

// Guards against new requests to a server or zone that operators took out of service.
TEST_F(replica_selector_test, server_out_of_service_is_left_out) {
    m_query.servers[m_near].in_service = false;
    const auto plan = m_selector->rank(m_view, m_query);
    EXPECT_EQ(plan.size(), 2U);
    EXPECT_EQ(plan[0].server, m_far);
}

// Guards against reads at a server that has stopped reporting or fails requests.
TEST_F(replica_selector_test, unresponsive_and_failing_servers_rank_last) {
    m_view.reports[m_near].received_at = m_now - milliseconds(600);
    m_query.servers[m_far].circuit_open = true;
    const auto plan = m_selector->rank(m_view, m_query);
    EXPECT_EQ(plan[0].server, m_primary);
    EXPECT_EQ(plan[1].suitability, read_suitability::stale_report);
    EXPECT_EQ(plan[2].suitability, read_suitability::circuit_open);
}

// Guards against answers from data that is older than the service allows.
TEST_F(replica_selector_test, replica_older_than_allowed_does_not_rank_first) {
    m_query.requirement.max_age = milliseconds(60);
    report(m_near, {3, 90}, milliseconds(80));
    EXPECT_EQ(first(), m_far);
}

} // namespace
} // namespace oriole::machines
