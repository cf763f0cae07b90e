#include "fleet/lease_revocation.h"
#include "fleet/primary_lease.h"

#include <gtest/gtest.h>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t zone_count = 4;

clock::time_point at(clock::duration time) {
    return clock::time_point(1h + time);
}

class primary_lease_test : public testing::Test {
protected:
    void confirm(std::initializer_list<const char*> zones, std::uint64_t revision,
                 clock::duration asked) {
        for (const auto* zone : zones) {
            m_lease.confirm(zone_name(zone), revision, at(asked));
        }
    }

    [[nodiscard]] bool covers(const std::string& server, clock::duration time) const {
        return m_lease.grant().covers(server_name(server), at(time));
    }

    primary_lease m_lease{zone_name("a"), zone_count};
};

// Guards against a gateway in a zone that is cut off, which keeps writing to the primary there
// after another server was promoted.
TEST_F(primary_lease_test, lease_without_a_majority_of_zones_covers_nothing) {
    EXPECT_FALSE(covers("s", 0s));
    confirm({"a", "b"}, 0, 0s);
    EXPECT_FALSE(covers("s", 0s));
    confirm({"c"}, 0, 0s);
    EXPECT_TRUE(covers("s", 0s));
}

// Guards against a lease that is dated from the answer, not from before the question.
TEST_F(primary_lease_test, lease_ends_a_lease_period_after_the_oldest_needed_question) {
    confirm({"b"}, 0, 200ms);
    confirm({"c"}, 0, 0ms);
    confirm({"d"}, 0, 100ms);
    EXPECT_TRUE(covers("s", 100ms + primary_lease_period - 1ms));
    EXPECT_FALSE(covers("s", 100ms + primary_lease_period));
}

// Guards against writes to the previous primary after a promotion was announced.
TEST_F(primary_lease_test, newer_order_moves_the_lease_to_its_target_when_confirmed) {
    confirm({"b", "c"}, 0, 0s);
    EXPECT_TRUE(m_lease.learn(7, server_name("t")));
    EXPECT_FALSE(covers("s", 0s));
    EXPECT_FALSE(covers("t", 0s));
    confirm({"b", "c"}, 7, 1ms);
    EXPECT_TRUE(covers("t", 1ms));
    EXPECT_FALSE(covers("s", 1ms));
}

// Guards against a confirmation by an instance that does not know the newest order.
TEST_F(primary_lease_test, confirmation_of_another_order_is_ignored) {
    EXPECT_TRUE(m_lease.learn(7, server_name("t")));
    confirm({"b", "c"}, 5, 0s);
    confirm({"b", "c"}, 9, 0s);
    EXPECT_FALSE(covers("t", 0s));
}

// Guards against an older order that is received late and replaces a newer one.
TEST_F(primary_lease_test, older_order_is_ignored) {
    EXPECT_TRUE(m_lease.learn(7, server_name("t")));
    EXPECT_FALSE(m_lease.learn(5, server_name("s")));
    EXPECT_EQ(m_lease.target(), server_name("t"));
}

// Guards against a deployment of one zone that cannot write at all.
TEST_F(primary_lease_test, single_zone_needs_no_confirmation) {
    const primary_lease alone(zone_name("a"), 1);
    EXPECT_TRUE(alone.grant().covers(server_name("s"), at(24h)));
}

class lease_revocation_test : public testing::Test {
protected:
    lease_revocation_test()
        : m_revocation({{instance_id("a1"), zone_name("a")},
                        {instance_id("a2"), zone_name("a")},
                        {instance_id("b1"), zone_name("b")},
                        {instance_id("c1"), zone_name("c")},
                        {instance_id("d1"), zone_name("d")}},
                       zone_count, at(0s)) {}

    void release(std::initializer_list<const char*> holders, clock::duration time) {
        for (const auto* holder : holders) {
            m_revocation.released(instance_id(holder), at(time));
        }
    }

    lease_revocation m_revocation;
};

// Guards against a needless wait when every gateway has given up the previous primary.
TEST_F(lease_revocation_test, promotion_is_safe_at_once_when_all_holders_released) {
    release({"a1", "a2", "b1", "c1", "d1"}, 5ms);
    EXPECT_EQ(m_revocation.safe_at(at(5ms)), at(5ms));
}

// Guards against a promotion while a gateway that is cut off may still use the previous primary.
TEST_F(lease_revocation_test, promotion_waits_for_the_lease_of_a_silent_holder) {
    release({"a1", "a2", "b1", "c1"}, 5ms);
    EXPECT_EQ(m_revocation.safe_at(at(10ms)),
              at(5ms + primary_lease_period + primary_lease_margin));
}

// Guards against a promotion by an instance that reaches only a minority of the zones.
TEST_F(lease_revocation_test, promotion_is_never_safe_without_a_majority_of_zones) {
    release({"a1", "a2", "b1"}, 5ms);
    m_revocation.old_primary_stopped();
    EXPECT_EQ(m_revocation.safe_at(at(1h)), std::nullopt);
}

// Guards against counting a zone of which one gateway may still confirm the previous order.
TEST_F(lease_revocation_test, zone_counts_only_when_all_of_its_holders_answered) {
    release({"a1", "b1", "c1"}, 5ms);
    EXPECT_EQ(m_revocation.safe_at(at(10ms)), std::nullopt);
    EXPECT_EQ(m_revocation.safe_at(at(lease_revocation::silence_limit)),
              at(lease_revocation::silence_limit + primary_lease_period + primary_lease_margin));
}

// Guards against a needless wait when the old primary itself has stepped down.
TEST_F(lease_revocation_test, stopped_primary_needs_no_wait) {
    release({"a1", "a2", "b1", "c1"}, 5ms);
    m_revocation.old_primary_stopped();
    EXPECT_EQ(m_revocation.safe_at(at(10ms)), at(5ms));
}

} // namespace
} // namespace oriole::fleet
