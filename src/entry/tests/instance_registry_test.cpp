#include "entry/internal/instance_registry.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class instance_registry_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    static fleet::registered_instance instance(const std::string& name, std::uint64_t heartbeats) {
        fleet::registered_instance instance;
        instance.id = instance_id(name);
        instance.zone = zone_name("zone");
        instance.incarnation = 1;
        instance.heartbeats = heartbeats;
        return instance;
    }

    /// Lists this instance with the given heartbeat and `others` that never renew their entries.
    void list(int others, std::uint64_t own_heartbeats, clock::duration time) {
        store_page<fleet::registered_instance> page;
        page.revision = {1, 1};
        page.objects.push_back({"own", {1, 1}, false, instance("own", own_heartbeats)});
        for (int i = 0; i < others; ++i) {
            const auto name = "other" + std::to_string(i);
            page.objects.push_back({name, {1, 1}, false, instance(name, 1)});
        }
        m_registry.update(page, at(time));
    }

    instance_registry m_registry{instance("own", 1)};
};

// Guards against calls to the store that grow with the square of the fleet's size, and against a
// small fleet that notices a dead instance late.
TEST_F(instance_registry_test, renewal_interval_grows_with_the_fleet_up_to_a_limit) {
    EXPECT_EQ(m_registry.renewal_interval(), 10s);
    list(80, 1, 0s);
    EXPECT_EQ(m_registry.renewal_interval(), 10s);
    list(199, 1, 1s);
    EXPECT_EQ(m_registry.renewal_interval(), 20s);
    list(2000, 1, 2s);
    EXPECT_EQ(m_registry.renewal_interval(), 30s);
}

// Guards against a large fleet whose instances are all taken for dead between two renewals.
TEST_F(instance_registry_test, entries_live_longer_than_a_renewal_interval) {
    list(299, 1, 0s);
    list(299, 2, 30s);
    EXPECT_EQ(m_registry.live().size(), 299U);
    list(299, 3, 60s);
    EXPECT_TRUE(m_registry.live().empty());
}

// Guards against an instance that has reported and is taken for dead because the store rejected two
// of its renewals.
TEST_F(instance_registry_test, contacted_instance_lives_through_missed_renewals) {
    list(1, 1, 0s);
    m_registry.record_report(instance_id("other0"), 1);
    list(1, 2, 30s);
    EXPECT_EQ(m_registry.live().size(), 1U);
    list(1, 3, 40s);
    EXPECT_TRUE(m_registry.live().empty());
}

// Guards against instances that take each other for dead for good after a partition that refused
// connections: neither would ask the other again.
TEST_F(instance_registry_test, instance_that_refused_a_connection_is_alive_again_after_a_while) {
    list(1, 1, 0s);
    m_registry.mark_refused(instance_id("other0"), 1, at(1s));
    EXPECT_TRUE(m_registry.live().empty());
    EXPECT_EQ(m_registry.refused().size(), 1U);
    m_registry.advance(at(2s));
    EXPECT_TRUE(m_registry.live().empty());
    m_registry.advance(at(1s + instance_registry::refusal_lifetime));
    EXPECT_EQ(m_registry.live().size(), 1U);
    EXPECT_TRUE(m_registry.refused().empty());
}

// Guards against ignoring an instance that reports although its machine refused a connection.
TEST_F(instance_registry_test, report_shows_that_an_instance_is_alive_after_a_refusal) {
    list(1, 1, 0s);
    m_registry.mark_refused(instance_id("other0"), 1, at(1s));
    m_registry.record_report(instance_id("other0"), 1);
    EXPECT_EQ(m_registry.live().size(), 1U);
}

// Guards against reviving a process that has announced its end, or whose successor has reported.
TEST_F(instance_registry_test, instance_that_announced_its_end_stays_dead) {
    list(1, 1, 0s);
    m_registry.mark_ended(instance_id("other0"), 1);
    m_registry.advance(at(1h));
    EXPECT_TRUE(m_registry.live().empty());
}

/// The list of a store that was restored from an older copy.
class restored_instance_registry_test : public instance_registry_test {
protected:
    restored_instance_registry_test() {
        list(1, 1, 0s);
        m_registry.record_report(instance_id("other0"), 1);
    }

    /// Lists only this instance, in the given era.
    void list_own(std::uint64_t era, std::uint64_t own_heartbeats, clock::duration time) {
        m_registry.update({{{"own", {era, 1}, false, instance("own", own_heartbeats)}}, {era, 1}},
                          at(time));
    }
};

// Guards against a running instance that counts as gone, because the restored store has lost its
// entry and it has not registered again yet.
TEST_F(restored_instance_registry_test, instance_that_reported_stays_known_while_it_registers) {
    list_own(2, 2, 3s);
    EXPECT_EQ(m_registry.live().size(), 1U);
    list_own(2, 3, 9s);
    EXPECT_TRUE(m_registry.live().empty());
}

// Guards against a restarted instance that is addressed as its earlier process, because the
// restored store has the entry of that process.
TEST_F(restored_instance_registry_test, restored_entry_of_an_earlier_process_is_not_used) {
    auto restarted = instance("other0", 1);
    restarted.incarnation = 2;
    m_registry.update({{{"other0", {1, 9}, false, restarted}}, {1, 9}}, at(1s));
    m_registry.record_report(instance_id("other0"), 2);
    m_registry.update({{{"other0", {2, 1}, false, instance("other0", 1)}}, {2, 1}}, at(3s));
    ASSERT_EQ(m_registry.live().size(), 1U);
    EXPECT_EQ(m_registry.live().front().incarnation, 2U);
}

// Guards against a list of the earlier era, read from a replica of the store that lags, that
// replaces a newer one.
TEST_F(restored_instance_registry_test, list_of_the_earlier_era_is_ignored) {
    store_page<fleet::registered_instance> page;
    page.revision = {2, 1};
    page.objects.push_back({"own", {2, 1}, false, instance("own", 2)});
    page.objects.push_back({"other0", {2, 1}, false, instance("other0", 2)});
    m_registry.update(page, at(3s));
    list_own(1, 1, 12s);
    EXPECT_EQ(m_registry.live().size(), 1U);
}

} // namespace
} // namespace oriole::entry
