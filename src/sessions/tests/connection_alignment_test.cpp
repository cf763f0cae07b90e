#include "sessions/connection_alignment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace oriole::sessions {
namespace {

class connection_alignment_test : public testing::Test {
protected:
    /// What the server holds after it has carried out the orders.
    void carry_out(const std::vector<server_order>& orders) {
        for (const auto& order : orders) {
            if (order.kind == order_kind::reset) {
                m_held.clear();
                m_prepared.clear();
            } else if (order.kind == order_kind::set_value) {
                m_held[order.name] = order.text;
            } else if (order.kind == order_kind::prepare) {
                m_prepared[order.name] = order.shape;
            }
            m_alignment.acknowledge(order);
        }
    }

    connection_alignment m_alignment;
    session_values m_held;
    std::map<std::string, prepared_shape> m_prepared;
};

// Guards against a statement that runs with values of the session before it.
RC_GTEST_FIXTURE_PROP(connection_alignment_test, any_sequence_of_sessions_sees_its_own_values, ()) {
    // The value of each of three names, 0 for none.
    const auto sessions = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 3)));
    for (const auto& chosen : sessions) {
        session_values wanted;
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            if (chosen[i] != 0) {
                wanted[std::string(1, static_cast<char>('a' + i))] = std::to_string(chosen[i]);
            }
        }
        const prepared_shape shape{"q" + std::to_string(wanted.size()), wanted.size() % 2 == 1};
        carry_out(m_alignment.orders_for(wanted, &shape));
        RC_ASSERT(m_held == wanted);
        const auto held = m_prepared.find(connection_alignment::name_of(shape));
        RC_ASSERT(held != m_prepared.end());
        RC_ASSERT(held->second == shape);
    }
}

// Guards against orders that were lost with a broken connection and then count as done.
TEST_F(connection_alignment_test, unacknowledged_orders_are_ordered_again) {
    const session_values wanted{{"a", "1"}};
    EXPECT_EQ(m_alignment.orders_for(wanted, nullptr).size(), 1U);
    EXPECT_EQ(m_alignment.orders_for(wanted, nullptr).size(), 1U);
}

// Guards against a read and a write of the same shape that share a prepared name.
TEST_F(connection_alignment_test, reads_and_writes_of_a_shape_have_different_names) {
    EXPECT_NE(connection_alignment::name_of({"q", false}),
              connection_alignment::name_of({"q", true}));
}

// Guards against a pool that prefers a connection which has to drop what others prepared.
TEST_F(connection_alignment_test, surplus_value_is_further_away_than_missing_ones) {
    carry_out(m_alignment.orders_for({{"a", "1"}}, nullptr));
    EXPECT_GT(m_alignment.distance({}), m_alignment.distance({{"a", "2"}, {"b", "1"}, {"c", "1"}}));
}

} // namespace
} // namespace oriole::sessions
