#include "database_server.h"

#include <gtest/gtest.h>

namespace oriole::standins {
namespace {

using links::backend_call;
using links::confirm_answer;
using links::execute_answer;
using links::execute_mode;
using links::refusal_answer;
using links::refusal_reason;
using machines::statement_kind;
using std::chrono::milliseconds;

class database_server_test : public testing::Test {
protected:
    database_server_test() {
        m_primary.start_as_primary(1, m_members);
        follow(m_replica, 1, "a");
        follow(m_second_replica, 1, "a");
    }

    static database_settings settings(const std::string& name, milliseconds lag) {
        return {server_name(name), {lag, lag}, milliseconds(0), 1};
    }

    static backend_call add(std::uint64_t term, const std::string& id) {
        return links::execute_request{
            execute_mode::write, term, {{statement_kind::add, "r", "", 1}}, {}, {}, id};
    }

    static links::execute_request get() {
        links::execute_request call;
        call.statements = {{statement_kind::get, "r", "", 0}};
        return call;
    }

    template <class Answer>
    Answer statement(database_server& server, const backend_call& call) {
        return std::get<Answer>(server.statement_call(call, m_connection, m_now));
    }

    template <class Answer>
    Answer control(database_server& server, const backend_call& call) {
        return std::get<Answer>(server.control_call(call, m_connection, m_now).value());
    }

    void follow(database_server& server, std::uint64_t term, const std::string& primary) {
        (void)control<links::accepted_answer>(
            server, links::follow_request{term, {server_name(primary), {}}});
    }

    void promote(database_server& server, std::uint64_t term) {
        (void)control<links::fence_answer>(server, links::fence_request{term, "p"});
        (void)control<links::accepted_answer>(server, links::promote_request{term, "p", m_members});
    }

    /// Fetches until `to` has received all log entries of `from`.
    void replicate(database_server& from, database_server& to) {
        for (;;) {
            const backend_call call = to.next_fetch(milliseconds(0));
            auto result = from.control_call(call, m_replication_connection, m_now);
            if (!result) {
                result = from.expired_result(call, m_replication_connection, m_now);
            }
            auto fetched = std::get<links::fetch_answer>(*result);
            const bool done = fetched.entries.empty() && !fetched.truncate_to;
            to.handle_fetch_answer(*to.following(), std::move(fetched), m_now, m_now);
            if (done) {
                return;
            }
        }
    }

    std::optional<std::string> value(database_server& server) {
        return statement<execute_answer>(server, get()).results.at(0).value;
    }

    refusal_reason refusal(database_server& server, const backend_call& call) {
        return statement<refusal_answer>(server, call).reason;
    }

    const std::vector<links::member_address> m_members{
        {server_name("a"), {}}, {server_name("b"), {}}, {server_name("c"), {}}};
    clock::time_point m_now{std::chrono::seconds(1000)};
    database_server m_primary{settings("a", milliseconds(0))};
    database_server m_replica{settings("b", milliseconds(100))};
    database_server m_second_replica{settings("c", milliseconds(100))};
    connection_state m_connection;
    connection_state m_replication_connection;
};

// Guards against a retried write that is executed a second time (S9 in docs/design.md).
TEST_F(database_server_test, repeated_request_id_returns_recorded_result) {
    const auto first = statement<execute_answer>(m_primary, add(1, "id"));
    const auto second = statement<execute_answer>(m_primary, add(1, "id"));
    EXPECT_TRUE(second.repeated);
    EXPECT_EQ(second.results, first.results);
    EXPECT_EQ(value(m_primary), "1");
}

// Guards against writes of an old primary that are still confirmed after a fence (S2 in
// docs/design.md).
TEST_F(database_server_test, fenced_server_refuses_writes_and_confirmations) {
    const auto written = statement<execute_answer>(m_primary, add(1, "id"));
    replicate(m_primary, m_replica);
    const links::confirm_request confirm{written.position, milliseconds(0)};
    EXPECT_TRUE(control<confirm_answer>(m_replica, confirm).holds);
    (void)control<links::fence_answer>(m_replica, links::fence_request{2, "p"});
    EXPECT_EQ(control<refusal_answer>(m_replica, confirm).reason, refusal_reason::stale_term);
    (void)control<links::fence_answer>(m_primary, links::fence_request{2, "p"});
    EXPECT_EQ(refusal(m_primary, add(1, "x")), refusal_reason::stale_term);
}

// Guards against two primaries in one term, promoted by different promoters.
TEST_F(database_server_test, accepted_term_is_refused_to_other_promoter) {
    (void)control<links::fence_answer>(m_replica, links::fence_request{2, "p"});
    (void)control<links::fence_answer>(m_replica, links::fence_request{2, "p"});
    EXPECT_EQ(control<refusal_answer>(m_replica, links::fence_request{2, "q"}).term, 2);
    const links::promote_request other{2, "q", m_members};
    EXPECT_EQ(control<refusal_answer>(m_replica, other).reason, refusal_reason::stale_term);
}

// Guards against unconfirmed entries of an old primary that stay visible after it was replaced.
TEST_F(database_server_test, old_primary_truncates_divergent_entries) {
    (void)statement<execute_answer>(m_primary, add(1, "kept"));
    replicate(m_primary, m_replica);
    (void)statement<execute_answer>(m_primary, add(1, "lost"));
    promote(m_replica, 2);
    (void)statement<execute_answer>(m_replica, add(2, "new"));
    follow(m_primary, 2, "b");
    replicate(m_replica, m_primary);
    m_primary.advance(m_now);
    EXPECT_EQ(value(m_primary), "2");
    const auto probe = control<links::probe_answer>(m_primary, links::probe_request{});
    EXPECT_EQ(probe.held, links::log_position(2, 4));
}

// Guards against a session that does not see its own write at a lagging replica (S1 in
// docs/design.md).
TEST_F(database_server_test, read_before_apply_is_refused_as_behind) {
    auto call = get();
    call.required = statement<execute_answer>(m_primary, add(1, "id")).position;
    EXPECT_EQ(refusal(m_replica, call), refusal_reason::behind);
    replicate(m_primary, m_replica);
    EXPECT_EQ(refusal(m_replica, call), refusal_reason::behind);
    m_now += milliseconds(100);
    m_replica.advance(m_now);
    EXPECT_EQ(statement<execute_answer>(m_replica, call).results.at(0).value, "1");
}

// Guards against answering a session from a log that does not contain its write, which was lost in
// a change of primary.
TEST_F(database_server_test, read_requiring_lost_entry_is_refused_as_history_lost) {
    auto call = get();
    call.required = statement<execute_answer>(m_primary, add(1, "lost")).position;
    promote(m_replica, 2);
    (void)statement<execute_answer>(m_replica, add(2, "new"));
    EXPECT_EQ(refusal(m_replica, call), refusal_reason::history_lost);
}

// Guards against a primary that was suspended and then counts a fetch request buffered in its
// socket as recent contact with the replica.
TEST_F(database_server_test, fetch_sent_before_suspension_does_not_renew_age) {
    replicate(m_primary, m_replica);
    replicate(m_primary, m_replica);
    auto call = get();
    call.max_age = milliseconds(50);
    (void)statement<execute_answer>(m_primary, call);
    m_now += milliseconds(60);
    replicate(m_primary, m_replica);
    EXPECT_EQ(refusal(m_primary, call), refusal_reason::too_old);
}

// Guards against a replica that reports data as current before applying it.
TEST_F(database_server_test, replica_age_is_measured_from_last_applied_fetch) {
    (void)statement<execute_answer>(m_primary, add(1, "id"));
    replicate(m_primary, m_replica);
    replicate(m_primary, m_replica);
    auto call = get();
    call.max_age = milliseconds(150);
    EXPECT_EQ(refusal(m_replica, call), refusal_reason::too_old);
    m_now += milliseconds(100);
    m_replica.advance(m_now);
    EXPECT_EQ(statement<execute_answer>(m_replica, call).age, milliseconds(100));
}

// Guards against a lost update between overlapping transactions.
TEST_F(database_server_test, overlapping_transaction_conflicts_at_commit) {
    (void)statement<links::accepted_answer>(m_primary, links::begin_request{1});
    (void)statement<execute_answer>(m_primary, get());
    connection_state other;
    (void)m_primary.statement_call(add(1, "other"), other, m_now);
    EXPECT_EQ(refusal(m_primary, links::commit_request{1, "id"}), refusal_reason::conflict);
    EXPECT_FALSE(statement<links::lookup_answer>(m_primary, links::lookup_request{1, "id"}).found);
}

} // namespace
} // namespace oriole::standins
