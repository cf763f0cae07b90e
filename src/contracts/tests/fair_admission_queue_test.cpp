#include "contracts/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace oriole::contracts {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

class fair_admission_queue_test : public testing::Test {
protected:
    static constexpr std::size_t max_length = 100;

    std::optional<admission_ticket> offer(const std::string& account, double weight = 1,
                                          double cost = 1, milliseconds time = milliseconds(500)) {
        const admission_request request{account_name(account), weight, cost, m_now + time};
        const auto ticket = m_queue->enqueue(request, m_now);
        if (ticket) {
            m_requests.emplace(*ticket, request);
        }
        return ticket;
    }

    /// Dequeues one request, if there is one, and adds its cost to the total of its account.
    void serve_one() {
        if (const auto ticket = m_queue->take(m_now)) {
            m_served[m_requests.at(*ticket).account.str()] += m_requests.at(*ticket).cost;
            m_queue->served(milliseconds(1));
        }
    }

    clock::time_point m_now{std::chrono::hours(1)};
    std::unique_ptr<admission_queue> m_queue = make_fair_admission_queue(max_length);
    std::map<admission_ticket, admission_request> m_requests;
    std::map<std::string, double> m_served;
};

// Guards against an account that sends eight times its portion and takes capacity from the others:
// each of the others must still get 95% of its requests served.
TEST_F(fair_admission_queue_test, overloading_account_leaves_others_their_part) {
    constexpr int accounts = 8;
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round) {
        for (int account = 0; account < accounts; ++account) {
            const int offered = account == 0 ? 8 : 1;
            for (int i = 0; i < offered; ++i) {
                (void)offer(std::to_string(account));
            }
        }
        for (int i = 0; i < accounts; ++i) {
            m_now += microseconds(125);
            serve_one();
        }
    }
    for (int account = 1; account < accounts; ++account) {
        EXPECT_GE(m_served[std::to_string(account)], 0.95 * rounds) << account;
    }
}

// Guards against a queue that ignores account weights or request costs.
TEST_F(fair_admission_queue_test, backlogged_accounts_share_cost_by_weight) {
    for (int round = 0; round < 8000; ++round) {
        (void)offer("heavy", 3, 1, seconds(100));
        (void)offer("costly", 1, 5, seconds(100));
        m_now += milliseconds(1);
        serve_one();
    }
    EXPECT_NEAR(m_served["heavy"] / m_served["costly"], 3.0, 0.3);
}

// Guards against serving requests whose callers have given up, and against tickets that are neither
// served nor dropped, which would leave a caller waiting forever.
RC_GTEST_FIXTURE_PROP(fair_admission_queue_test, expired_entry_is_dropped_and_never_handed_out,
                      (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)) {
    std::set<admission_ticket> dropped;
    std::set<admission_ticket> served;
    for (const auto& [account, time] : steps) {
        (void)offer(std::to_string(account % 3), 1, 1, milliseconds(time));
        m_now += milliseconds(account % 16);
        if (const auto ticket = m_queue->take(m_now); ticket && account % 2 == 0) {
            RC_ASSERT(m_requests.at(*ticket).deadline > m_now);
            RC_ASSERT(served.insert(*ticket).second);
        } else if (ticket) {
            served.insert(*ticket);
        }
        m_queue->served(milliseconds(5));
    }
    m_now += seconds(1);
    RC_ASSERT(!m_queue->take(m_now));
    for (const admission_ticket ticket : m_queue->take_dropped(m_now)) {
        RC_ASSERT(served.count(ticket) == 0);
        RC_ASSERT(dropped.insert(ticket).second);
    }
    RC_ASSERT(served.size() + dropped.size() == m_requests.size());
    RC_ASSERT(m_queue->size() == 0U);
}

// Guards against queueing a request that would time out, which its caller could send to another
// instance.
TEST_F(fair_admission_queue_test, request_that_would_time_out_is_refused) {
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(offer("a", 1, 1, seconds(10)));
    }
    for (int i = 0; i < 20; ++i) {
        m_now += milliseconds(10);
        serve_one();
    }
    EXPECT_FALSE(offer("a", 1, 1, milliseconds(100)));
    EXPECT_TRUE(offer("b", 1, 1, milliseconds(100)));
}

// Guards against an account that fills the bounded queue so that the others are refused.
TEST_F(fair_admission_queue_test, full_queue_drops_request_of_account_with_most_queued_work) {
    while (offer("a", 1, 1, seconds(10))) {
    }
    EXPECT_EQ(m_queue->size(), max_length);
    EXPECT_TRUE(offer("b", 1, 1, seconds(10)));
    EXPECT_EQ(m_queue->size(), max_length);
    EXPECT_EQ(m_queue->take_dropped(m_now).size(), 1);
}

// Guards against urgent requests that are refused because less urgent ones fill the bounded queue,
// also those of callers without an account; and against a displaced request that nobody is told of.
TEST_F(fair_admission_queue_test, full_queue_drops_request_of_the_lowest_priority) {
    admission_request request{account_name(), 1, 1, m_now + seconds(10), 1};
    while (m_queue->enqueue(request, m_now)) {
    }
    EXPECT_EQ(m_queue->size(), max_length);
    request.priority = 0;
    const auto urgent = m_queue->enqueue(request, m_now);
    EXPECT_TRUE(urgent);
    EXPECT_EQ(m_queue->take_dropped(m_now).size(), 1U);
    EXPECT_EQ(m_queue->take(m_now), urgent);
    request.priority = 2;
    while (m_queue->size() < max_length) {
        (void)m_queue->enqueue({account_name("a"), 1, 1, m_now + seconds(10), 1}, m_now);
    }
    EXPECT_FALSE(m_queue->enqueue(request, m_now));
}

} // namespace
} // namespace oriole::contracts
