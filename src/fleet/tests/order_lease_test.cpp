#include "fleet/order_lease.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

class order_lease_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    static promotion_order order_of(const std::string& holder, std::uint64_t revision) {
        return {service_name("db"), instance_id(holder), server_name("s"), revision};
    }

    order_lease m_lease{instance_id("own")};
};

// Guards against two instances that order changes of one service in turn, as seen on Sprout grown
// scale-2 after all machines had lost power: three orders of two instances within 2 s.
TEST_F(order_lease_test, order_of_another_instance_has_to_be_old) {
    EXPECT_FALSE(m_lease.may_order(order_of("other", 5), at(1s)));
    EXPECT_FALSE(m_lease.may_order(order_of("other", 5), at(4s)));
    EXPECT_TRUE(m_lease.may_order(order_of("other", 5), at(6s)));
}

// Guards against a pause before the first change, or before the last holder's next one.
TEST_F(order_lease_test, first_order_and_own_order_need_no_wait) {
    EXPECT_TRUE(m_lease.may_order(order_of("", 0), at(1s)));
    EXPECT_TRUE(m_lease.may_order(order_of("own", 5), at(1s)));
}

// Guards against a pause at each change whose last order was long ago.
TEST_F(order_lease_test, age_that_another_instance_knew_counts) {
    m_lease.seen(service_name("db"), 5, at(1s));
    EXPECT_TRUE(m_lease.may_order(order_of("other", 5), at(10s)));
}

// Guards against an old order's age that is taken for the age of a newer one.
TEST_F(order_lease_test, newer_order_begins_anew) {
    m_lease.seen(service_name("db"), 5, at(1s));
    EXPECT_FALSE(m_lease.may_order(order_of("other", 6), at(10s)));
    m_lease.seen(service_name("db"), 5, at(2s));
    EXPECT_EQ(m_lease.newest(service_name("db"))->revision, 6U);
}

} // namespace
} // namespace oriole::fleet
