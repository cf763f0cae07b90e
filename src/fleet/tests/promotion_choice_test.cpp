#include "fleet/promotion_choice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace oriole::fleet {
namespace {

using machines::log_position;

class promotion_choice_test : public testing::Test {
protected:
    static replica_log replica(const std::string& name, std::optional<std::uint64_t> received,
                               bool is_leaving = false) {
        replica_log log{server_name(name), is_leaving, std::nullopt, false};
        if (received) {
            log.received = log_position(1, *received);
        }
        return log;
    }
};

// Guards against commits that are rolled back although a replica has received them.
TEST_F(promotion_choice_test, longest_log_is_chosen_and_the_first_of_equal_ones) {
    EXPECT_EQ(choose_longest_log({replica("a", 4), replica("b", 6), replica("c", 6)}, 0),
              server_name("b"));
    EXPECT_EQ(choose_longest_log({replica("a", std::nullopt), replica("b", 2)}, 0),
              server_name("b"));
    EXPECT_EQ(choose_longest_log({replica("a", std::nullopt)}, 0), std::nullopt);
    EXPECT_EQ(choose_longest_log({}, 1), std::nullopt);
}

// Guards against the loss of commits that only a draining replica had received when they were
// acknowledged.
TEST_F(promotion_choice_test, leaving_replica_with_the_longest_log_is_chosen_if_synchronous) {
    EXPECT_EQ(choose_longest_log({replica("a", 4), replica("b", 6, true)}, 1), server_name("b"));
    EXPECT_EQ(choose_longest_log({replica("a", 6), replica("b", 6, true)}, 1), server_name("a"));
    EXPECT_EQ(choose_longest_log({replica("a", 4), replica("b", 6, true)}, 0), server_name("a"));
}

// Guards against a promotion while a replica that did not answer may have the only copy of an
// acknowledged commit.
TEST_F(promotion_choice_test, silent_replica_prevents_the_choice_if_synchronous) {
    const std::vector<replica_log> replicas{replica("a", 4), replica("b", std::nullopt)};
    EXPECT_EQ(choose_longest_log(replicas, 1), std::nullopt);
    EXPECT_EQ(choose_longest_log(replicas, 2), server_name("a"));
}

// Guards against a service without a primary, because a server that is down is waited for although
// a primary that has stepped down has all commits; and against a promotion that loses these.
TEST_F(promotion_choice_test, complete_log_makes_up_for_silent_replicas) {
    auto old_primary = replica("old", 6, true);
    old_primary.is_complete = true;
    const auto silent = replica("b", std::nullopt);
    EXPECT_EQ(choose_longest_log({replica("a", 6), silent, old_primary}, 1), server_name("a"));
    EXPECT_EQ(choose_longest_log({replica("a", 5), silent, old_primary}, 1), server_name("old"));
}

// Guards against any choice that lacks an acknowledged commit, whichever replicas received it and
// whichever of them answer.
RC_GTEST_FIXTURE_PROP(promotion_choice_test, chosen_replica_has_every_acknowledged_commit, ()) {
    const int synchronous = *rc::gen::inRange(1, 3);
    const auto lengths = *rc::gen::container<std::vector<std::uint64_t>>(
        *rc::gen::inRange<std::size_t>(static_cast<std::size_t>(synchronous), 6),
        rc::gen::inRange<std::uint64_t>(1, 9));
    auto sorted = lengths;
    std::sort(sorted.rbegin(), sorted.rend());
    const auto acknowledged = sorted[static_cast<std::size_t>(synchronous) - 1];
    std::vector<replica_log> replicas;
    for (const auto length : lengths) {
        const bool answers = *rc::gen::arbitrary<bool>();
        replicas.push_back(replica(std::to_string(replicas.size()),
                                   answers ? std::optional(length) : std::nullopt,
                                   *rc::gen::arbitrary<bool>()));
    }
    const auto chosen = choose_longest_log(replicas, synchronous);
    if (chosen) {
        RC_ASSERT(lengths[std::stoul(chosen->str())] >= acknowledged);
    }
}

} // namespace
} // namespace oriole::fleet
