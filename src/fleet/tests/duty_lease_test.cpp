#include "fleet/duty_lease.h"

#include "fleet/types/promotion_order.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

class duty_lease_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    bool may_act_after(const std::string& holder, std::uint64_t fence, clock::time_point now) {
        return m_lease.may_act(instance_id(holder), fence, now);
    }

    duty_lease m_lease{instance_id("own"), promotion_lease_period};
};

// Guards against two instances that alternately promote servers of one service. It was seen on the
// test day scale-2 of the enlarged Sprout site (see docs/measurements.md) after a power failure of
// all machines: two instances wrote three promotion orders within 2 s.
TEST_F(duty_lease_test, another_instance_may_promote_only_after_the_lease) {
    EXPECT_FALSE(may_act_after("other", 5, at(1s)));
    EXPECT_FALSE(may_act_after("other", 5, at(4s)));
    EXPECT_TRUE(may_act_after("other", 5, at(6s)));
}

// Guards against a needless delay of a service's first promotion, or of a second promotion by the
// same instance.
TEST_F(duty_lease_test, first_promotion_and_own_promotion_need_no_wait) {
    EXPECT_TRUE(may_act_after("", 0, at(1s)));
    EXPECT_TRUE(may_act_after("own", 5, at(1s)));
}

// Guards against a full lease period of delay after an old promotion order, when this instance
// reads the order from the store only now but a peer reported it earlier.
TEST_F(duty_lease_test, order_seen_earlier_by_another_instance_may_be_replaced) {
    m_lease.seen(5, at(1s));
    EXPECT_TRUE(may_act_after("other", 5, at(10s)));
}

// Guards against a lease that ends early because the age of an older order is used for a newer one.
TEST_F(duty_lease_test, newer_order_restarts_the_lease) {
    m_lease.seen(5, at(1s));
    EXPECT_FALSE(may_act_after("other", 6, at(10s)));
    m_lease.seen(5, at(2s));
    EXPECT_EQ(m_lease.newest()->fence, 6U);
}

// Guards against two instances that promote servers of one service in turn, because a restored
// store has lost the other instance's order and holds this instance's earlier one.
TEST_F(duty_lease_test, own_order_does_not_stand_for_a_newer_one_that_was_lost) {
    m_lease.seen(6, at(1s));
    EXPECT_FALSE(may_act_after("own", 5, at(2s)));
    EXPECT_TRUE(may_act_after("own", 5, at(6s)));
}

} // namespace
} // namespace oriole::fleet
