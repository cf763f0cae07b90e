#include "entry/internal/evacuated_zones.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

const zone_name zone("zone-b");

class evacuated_zones_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    static store_page<evacuation> listing(const fleet::store_revision& revision) {
        return {{}, revision};
    }

    static store_page<evacuation> page_with_zone(const fleet::store_revision& revision) {
        return {{{zone.str(), revision, false, evacuation{zone}}}, revision};
    }

    static store_page<evacuation> removal(const fleet::store_revision& revision) {
        return {{{zone.str(), revision, true, std::nullopt}}, revision};
    }

    bool evacuated_at(clock::duration time) {
        m_zones.advance(at(time));
        return m_zones.contains(zone);
    }

    std::unique_ptr<decision_log> m_log = make_decision_log(STDERR_FILENO);
    evacuated_zones m_zones{*m_log};
};

// Guards against statements for an evacuated zone, because the copy lacks the evacuation.
TEST_F(evacuated_zones_test, evacuation_lost_with_a_restore_stays_until_it_can_be_written_again) {
    m_zones.update(page_with_zone({1, 30}), false, at(1s));
    m_zones.update(listing({2, 20}), true, at(4s));
    EXPECT_TRUE(evacuated_at(5s));
    EXPECT_TRUE(evacuated_at(13s));
    EXPECT_FALSE(evacuated_at(15s));
}

// Guards against an evacuation that ends with the grace period, although it was written again.
TEST_F(evacuated_zones_test, evacuation_written_again_after_a_restore_stays) {
    m_zones.update(page_with_zone({1, 30}), false, at(1s));
    m_zones.update(listing({2, 20}), true, at(4s));
    m_zones.update(page_with_zone({2, 21}), false, at(6s));
    EXPECT_TRUE(evacuated_at(60s));
}

// Guards against an evacuation that outlasts the operator's removal of it after a restore.
TEST_F(evacuated_zones_test, evacuation_removed_after_a_restore_ends_at_once) {
    m_zones.update(page_with_zone({1, 10}), false, at(1s));
    m_zones.update(page_with_zone({2, 20}), true, at(4s));
    m_zones.update(removal({2, 21}), false, at(5s));
    EXPECT_FALSE(evacuated_at(5s));
}

// Guards against an evacuation that is not followed, because its revision was given out before the
// restore.
TEST_F(evacuated_zones_test, evacuation_with_a_repeated_revision_comes_into_force) {
    m_zones.update(listing({1, 30}), true, at(1s));
    m_zones.update(listing({2, 20}), true, at(4s));
    m_zones.update(page_with_zone({2, 30}), false, at(5s));
    EXPECT_TRUE(evacuated_at(5s));
}

// Guards against a late page of the earlier era that ends an evacuation.
TEST_F(evacuated_zones_test, page_of_the_earlier_era_is_ignored) {
    m_zones.update(page_with_zone({2, 20}), true, at(4s));
    m_zones.update(listing({1, 40}), true, at(5s));
    EXPECT_TRUE(evacuated_at(5s));
}

// Guards against an evacuation that stays in force when the operator has removed it in calm times.
TEST_F(evacuated_zones_test, evacuation_missing_in_a_list_of_the_same_era_ends) {
    m_zones.update(page_with_zone({2, 20}), true, at(4s));
    m_zones.update(listing({2, 21}), true, at(5s));
    EXPECT_FALSE(evacuated_at(5s));
}

} // namespace
} // namespace oriole::entry
