#include "scheduling/server_schedule.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace oriole::scheduling {
namespace {

using namespace std::chrono_literals;
using contracts::admission_ticket;

/// Statements of one route that arrive at even intervals.
struct offered_load {
    std::string account;
    int priority = 0;
    clock::duration interval{};
    clock::duration execution{};
    clock::duration patience{}; ///< time in which a statement has to start
};

/// What the callers of one load got.
struct service_share {
    int offered = 0;
    int started = 0;
    clock::duration longest_wait{};

    [[nodiscard]] double share() const { return static_cast<double>(started) / offered; }
};

/// Plays loads against the schedule of one server that executes `slots` statements at a time.
class server_schedule_test : public testing::Test {
protected:
    static constexpr int slots = 4;

    std::map<std::string, service_share> play(const std::vector<offered_load>& loads,
                                              clock::duration length) {
        std::vector<clock::time_point> next(loads.size(), m_now);
        const auto end = m_now + length;
        for (; m_now < end; m_now += 1ms) {
            finish_due();
            for (std::size_t i = 0; i < loads.size(); ++i) {
                for (; next[i] <= m_now; next[i] += loads[i].interval) {
                    arrive(loads[i]);
                }
            }
            start_waiting();
            static_cast<void>(m_schedule->take_refused(m_now));
        }
        return m_shares;
    }

    void arrive(const offered_load& load) {
        ++m_shares[load.account].offered;
        if (m_schedule->may_start(load.priority, m_now)) {
            m_schedule->start(load.priority, m_now);
            begin(load, m_now);
            return;
        }
        const statement_claim claim{account_name(load.account), load.priority,
                                    m_now + load.patience};
        if (const auto ticket = m_schedule->enqueue(claim, m_now)) {
            m_waiting.emplace(*ticket, std::make_pair(load, m_now));
        }
    }

    void start_waiting() {
        while (const auto ticket = m_schedule->start_next(m_now, m_connected)) {
            const auto [load, since] = m_waiting.at(*ticket);
            begin(load, since);
        }
    }

    void begin(const offered_load& load, clock::time_point arrived) {
        auto& share = m_shares[load.account];
        ++share.started;
        share.longest_wait = std::max(share.longest_wait, m_now - arrived);
        m_running.emplace(m_now + load.execution, std::make_pair(load, m_now));
    }

    void finish_due() {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            const auto [load, began] = m_running.begin()->second;
            m_schedule->finish(load.priority, statement_end::answered, m_now - began, m_now);
            m_running.erase(m_running.begin());
        }
    }

    /// Starts statements of the priority until no slot is left for it.
    int fill(int priority) {
        int started = 0;
        while (m_schedule->may_start(priority, m_now)) {
            m_schedule->start(priority, m_now);
            ++started;
        }
        return started;
    }

    clock::time_point m_now{1h};
    std::unique_ptr<server_schedule> m_schedule = make_priority_server_schedule(slots);
    std::map<admission_ticket, std::pair<offered_load, clock::time_point>> m_waiting;
    std::multimap<clock::time_point, std::pair<offered_load, clock::time_point>> m_running;
    std::map<std::string, service_share> m_shares;
    std::set<account_name> m_connected; ///< accounts with an idle connection
};

// Load: bookings and long lookups ask for twice what the server can do, beside a few urgent orders.
// Guards against urgent statements that wait behind the others or are refused; and against a lowest
// priority that gets nothing.
TEST_F(server_schedule_test, urgent_statements_are_served_in_time_under_overload) {
    const auto got = play({{"order", 0, 10ms, 10ms, 50ms},
                           {"booking", 1, 5ms, 30ms, 100ms},
                           {"lookup", 2, 20ms, 50ms, 400ms}},
                          10s);
    EXPECT_GE(got.at("order").share(), 0.99);
    EXPECT_GT(got.at("booking").share(), got.at("lookup").share());
    EXPECT_GE(got.at("lookup").share(), 0.1);
}

// Load: one account sends ten times its portion. Guards against its statements taking the slots of
// the other accounts of the same priority.
TEST_F(server_schedule_test, busy_account_delays_only_itself) {
    std::vector<offered_load> loads{{"busy", 1, 2ms, 20ms, 100ms}};
    for (const char* account : {"a", "b", "c"}) {
        loads.push_back({account, 1, 25ms, 20ms, 100ms});
    }
    const auto got = play(loads, 10s);
    for (const char* account : {"a", "b", "c"}) {
        EXPECT_GE(got.at(account).share(), 0.98) << account;
    }
    EXPECT_LT(got.at("busy").share(), 0.5);
}

// Load: the same, while only the busy account has idle connections. Guards against a preference for
// them that leaves the other accounts without their portion.
TEST_F(server_schedule_test, busy_account_with_connections_delays_only_itself) {
    m_connected = {account_name("busy")};
    std::vector<offered_load> loads{{"busy", 1, 2ms, 20ms, 100ms}};
    for (const char* account : {"a", "b", "c"}) {
        loads.push_back({account, 1, 25ms, 20ms, 100ms});
    }
    const auto got = play(loads, 10s);
    for (const char* account : {"a", "b", "c"}) {
        EXPECT_GE(got.at(account).share(), 0.98) << account;
    }
}

// Guards against opening a connection, which takes a slot for as long as a short statement, while
// another statement of the same priority could use one that is open.
TEST_F(server_schedule_test, account_with_a_connection_goes_first_within_its_priority) {
    m_connected = {account_name("connected")};
    fill(0);
    const auto urgent = m_schedule->enqueue({account_name("urgent"), 0, m_now + 1s}, m_now);
    const auto other = m_schedule->enqueue({account_name("other"), 1, m_now + 1s}, m_now);
    const auto connected = m_schedule->enqueue({account_name("connected"), 1, m_now + 1s}, m_now);
    m_schedule->finish(0, statement_end::answered, 10ms, m_now); // the reserve for urgent ones
    for (const auto& expected : {urgent, connected, other}) {
        m_schedule->finish(0, statement_end::answered, 10ms, m_now);
        EXPECT_EQ(m_schedule->start_next(m_now, m_connected), expected);
    }
}

// Load: long statements fill the server while urgent ones arrive now and then. Guards against an
// urgent statement that finds all slots taken by long ones.
TEST_F(server_schedule_test, long_statements_leave_a_slot_to_urgent_ones) {
    m_schedule->start(0, m_now);
    m_schedule->finish(0, statement_end::answered, 10ms, m_now);
    fill(2);
    EXPECT_TRUE(m_schedule->may_start(0, m_now));
    m_now += 5s;
    EXPECT_EQ(fill(2), 1);
    EXPECT_FALSE(m_schedule->may_start(0, m_now));
}

// Guards against a statement that waits although it is known on arrival that it cannot start in
// time, which its caller could try elsewhere.
TEST_F(server_schedule_test, statement_that_cannot_start_in_time_is_refused_on_arrival) {
    static_cast<void>(play({{"a", 1, 2ms, 20ms, 200ms}}, 2s));
    static_cast<void>(m_schedule->take_counts());
    EXPECT_FALSE(m_schedule->enqueue({account_name("a"), 1, m_now + 20ms}, m_now));
    EXPECT_TRUE(m_schedule->enqueue({account_name("b"), 0, m_now + 20ms}, m_now));
    EXPECT_EQ(m_schedule->take_counts()[1].refused_ahead, 1);
}

// Load: other instances use the same server, which refuses what it has no room for. Guards against
// sending on as if the server were this instance's alone, and against a bound that ends below 1.
TEST_F(server_schedule_test, refusals_by_the_server_lower_the_bound_to_one_at_least) {
    const int before = fill(0);
    for (int i = 0; i < before; ++i) {
        m_now += 200ms;
        m_schedule->finish(0, statement_end::refused, 1ms, m_now);
    }
    EXPECT_EQ(fill(0), 1);
}

// Guards against a lasting bound after the other instances' load is gone.
TEST_F(server_schedule_test, answers_raise_the_bound_again) {
    const int before = fill(0);
    for (int i = 0; i < before; ++i) {
        m_now += 200ms;
        m_schedule->finish(0, statement_end::refused, 1ms, m_now);
    }
    static_cast<void>(play({{"a", 0, 1ms, 10ms, 200ms}}, 5s));
    static_cast<void>(m_schedule->clear(m_now));
    m_now += 10ms;
    finish_due();
    EXPECT_EQ(fill(0), before);
}

// Guards against a further statement of a transaction that waits while the transaction holds its
// connection.
TEST_F(server_schedule_test, further_statement_counts_without_waiting) {
    const int bound = fill(1);
    m_schedule->start(1, m_now);
    m_schedule->finish(1, statement_end::answered, 10ms, m_now);
    EXPECT_FALSE(m_schedule->may_start(1, m_now));
    EXPECT_EQ(bound, slots + 1);
}

// Failure: the instance leaves while statements wait. Guards against a statement that is neither
// started nor refused.
TEST_F(server_schedule_test, all_waiting_statements_are_refused_when_the_queue_is_cleared) {
    fill(0);
    for (int i = 0; i < 5; ++i) {
        ASSERT_TRUE(m_schedule->enqueue({account_name("a"), i % 2, m_now + 1s}, m_now));
    }
    EXPECT_EQ(m_schedule->clear(m_now).size(), 5U);
    EXPECT_EQ(m_schedule->waiting(), 0U);
}

} // namespace
} // namespace oriole::scheduling
