#include "sessions/position_proofs.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::sessions {
namespace {

using namespace std::chrono_literals;
using machines::log_position;

class position_proofs_test : public testing::Test {
protected:
    static clock::time_point at(clock::duration time) { return clock::time_point(time); }

    void prove(clock::duration time, log_position position) { m_proofs.add({at(time), position}); }

    position_proofs m_proofs;
};

// Guards against a read that is sent to a replica although the required log position is unknown.
TEST_F(position_proofs_test, no_proof_requires_the_primary) {
    EXPECT_EQ(m_proofs.required(at(10s), 1s, std::nullopt), std::nullopt);
}

// Guards against a read that uses a proof older than the route's maximum age.
TEST_F(position_proofs_test, proof_older_than_the_age_does_not_count) {
    prove(1s, {1, 5});
    EXPECT_EQ(m_proofs.required(at(2100ms), 1s, std::nullopt), std::nullopt);
    EXPECT_EQ(m_proofs.required(at(1900ms), 1s, std::nullopt), log_position(1, 5));
}

// Guards against reads that require newer data than the route guarantees, which replicas may not
// yet have.
TEST_F(position_proofs_test, oldest_sufficient_proof_is_chosen) {
    prove(1s, {1, 5});
    prove(2s, {1, 9});
    EXPECT_EQ(m_proofs.required(at(2500ms), 2s, std::nullopt), log_position(1, 5));
    EXPECT_EQ(m_proofs.required(at(2500ms), 1s, std::nullopt), log_position(1, 9));
}

// Guards against a session that does not see its own commit in a read from a replica.
TEST_F(position_proofs_test, own_commit_is_required_when_it_is_newer) {
    prove(1s, {1, 5});
    EXPECT_EQ(m_proofs.required(at(1500ms), 1s, log_position(1, 8)), log_position(1, 8));
    EXPECT_EQ(m_proofs.required(at(1500ms), 1s, log_position(1, 3)), log_position(1, 5));
}

// Guards against a session whose reads wait forever for a commit that was lost in a primary change.
TEST_F(position_proofs_test, own_commit_of_an_earlier_term_becomes_the_start_of_the_new_one) {
    prove(1s, {1, 9});
    prove(2s, {2, 7});
    prove(2500ms, {2, 8});
    EXPECT_EQ(m_proofs.required(at(2600ms), 1s, log_position(1, 12)), log_position(2, 7));
}

// Guards against a former primary's answer that arrives after a primary change and counts as proof.
TEST_F(position_proofs_test, proof_of_an_earlier_term_is_ignored) {
    prove(2s, {2, 7});
    prove(3s, {1, 30});
    EXPECT_EQ(m_proofs.newest(), (position_proof{at(2s), {2, 7}}));
}

// Guards against the use of proofs of an earlier term, whose log entries may have been truncated by
// the promotion.
TEST_F(position_proofs_test, new_term_drops_the_proofs_of_the_old_one) {
    prove(1s, {1, 9});
    prove(2s, {2, 7});
    EXPECT_EQ(m_proofs.required(at(2100ms), 1500ms, std::nullopt), log_position(2, 7));
}

// Guards against a required position that does not cover a commit which was acknowledged more than
// the maximum age ago.
RC_GTEST_FIXTURE_PROP(position_proofs_test, required_position_covers_every_older_commit, ()) {
    const auto gaps = *rc::gen::nonEmpty<std::vector<std::uint8_t>>();
    const auto age = std::chrono::milliseconds(*rc::gen::inRange(100, 3000));
    clock::duration time = 1s;
    std::uint64_t number = 0;
    std::vector<std::pair<clock::time_point, std::uint64_t>> commits;
    for (const auto gap : gaps) {
        time += std::chrono::milliseconds(gap);
        commits.emplace_back(at(time), ++number);
        time += 1ms;
        prove(time, {1, number});
    }
    const auto now = at(time);
    const auto required = m_proofs.required(now, age, std::nullopt);
    for (const auto& [acknowledged, position] : commits) {
        RC_ASSERT(!required || acknowledged >= now - age || position <= required->offset());
    }
}

} // namespace
} // namespace oriole::sessions
