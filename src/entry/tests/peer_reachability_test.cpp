#include "entry/internal/peer_reachability.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class peer_reachability_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(1h + time); }

    bool record(const std::string& name, const std::string& zone, exchange_end end,
                clock::duration time) {
        return m_peers.record(instance_id(name), zone_name(zone), end, at(time));
    }

    /// Records failures of this many instances of the zone, whose names begin with the zone's.
    void fail(const std::string& zone, int instances, clock::duration time,
              exchange_end end = exchange_end::silent) {
        for (int i = 0; i < instances; ++i) {
            record(zone + std::to_string(i), zone, end, time);
        }
    }

    static std::vector<fleet::registered_instance> peers(const std::string& zone,
                                                         const std::vector<std::string>& names) {
        std::vector<fleet::registered_instance> out;
        for (const auto& name : names) {
            fleet::registered_instance peer;
            peer.id = instance_id(name);
            peer.zone = zone_name(zone);
            out.push_back(peer);
        }
        return out;
    }

    peer_reachability m_peers{zone_name("own")};
};

// Guards against a zone that notices a partition late, because each refused connection brings an
// untried instance into the place of the one that refused it.
TEST_F(peer_reachability_test, other_zones_are_lost_while_report_peers_are_still_untried) {
    fail("far", 3, 0s, exchange_end::refused);
    record("own1", "own", exchange_end::answered, 100ms);
    EXPECT_FALSE(m_peers.lost_report_peers(peers("far", {"untried"})).value());
    EXPECT_FALSE(m_peers.lost_other_zones(at(400ms)));
    EXPECT_TRUE(m_peers.lost_other_zones(at(500ms)));
}

// Guards against a zone that counts as cut off because a few instances ended.
TEST_F(peer_reachability_test, other_zones_are_not_lost_when_one_of_their_instances_answers) {
    fail("far", 5, 0s, exchange_end::refused);
    record("near1", "near", exchange_end::answered, 200ms);
    EXPECT_FALSE(m_peers.lost_other_zones(at(2s)));
    fail("far", 2, 300ms, exchange_end::refused);
    EXPECT_FALSE(m_peers.lost_other_zones(at(2s)));
}

// Guards against a small site, with few instances in other zones, that never notices a partition.
TEST_F(peer_reachability_test, report_peers_are_lost_when_all_in_other_zones_failed) {
    fail("far", 2, 0s);
    EXPECT_TRUE(m_peers.lost_report_peers(peers("far", {"far0", "far1"})).value());
    EXPECT_FALSE(m_peers.lost_report_peers(peers("far", {"far0", "far2"})).value());
    EXPECT_EQ(m_peers.lost_report_peers(peers("own", {"own1"})), std::nullopt);
}

// Guards against an instance that is cut off alone and goes on receiving callers that it can admit
// only a small part of.
TEST_F(peer_reachability_test, all_are_lost_after_silence_in_every_zone_without_an_answer) {
    fail("own", 2, 0s);
    fail("far", 2, 100ms);
    EXPECT_FALSE(m_peers.lost_all(at(1100ms)));
    EXPECT_TRUE(m_peers.lost_all(at(1200ms)));
    record("own5", "own", exchange_end::answered, 1300ms);
    EXPECT_FALSE(m_peers.lost_all(at(3s)));
}

// Guards against the last running instance that sends its callers away.
TEST_F(peer_reachability_test, refusals_are_not_taken_for_a_cut_of_this_instance_alone) {
    fail("own", 5, 0s, exchange_end::refused);
    fail("far", 2, 0s);
    EXPECT_FALSE(m_peers.lost_all(at(3s)));
}

// Guards against a line in the log for every exchange.
TEST_F(peer_reachability_test, only_a_different_outcome_is_a_change) {
    EXPECT_TRUE(record("a", "far", exchange_end::answered, 0s));
    EXPECT_FALSE(record("a", "far", exchange_end::answered, 1s));
    EXPECT_TRUE(record("a", "far", exchange_end::silent, 2s));
    EXPECT_FALSE(record("a", "far", exchange_end::refused, 3s));
}

} // namespace
} // namespace oriole::entry
