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

// Guards against a read of a replica without knowing what it has to hold.
TEST_F(position_proofs_test, no_proof_requires_the_primary) {
    EXPECT_EQ(m_proofs.required(at(10s), 1s, std::nullopt), std::nullopt);
}

// Guards against a proof that is older than what the route accepts.
TEST_F(position_proofs_test, proof_older_than_the_age_does_not_count) {
    prove(1s, {1, 5});
    EXPECT_EQ(m_proofs.required(at(2100ms), 1s, std::nullopt), std::nullopt);
    EXPECT_EQ(m_proofs.required(at(1900ms), 1s, std::nullopt), log_position(1, 5));
}

// Guards against asking replicas for newer data than the route promises, which they may lack.
TEST_F(position_proofs_test, oldest_sufficient_proof_is_chosen) {
    prove(1s, {1, 5});
    prove(2s, {1, 9});
    EXPECT_EQ(m_proofs.required(at(2500ms), 2s, std::nullopt), log_position(1, 5));
    EXPECT_EQ(m_proofs.required(at(2500ms), 1s, std::nullopt), log_position(1, 9));
}

// Guards against a session that does not see its own commit.
TEST_F(position_proofs_test, own_commit_is_required_when_it_is_newer) {
    prove(1s, {1, 5});
    EXPECT_EQ(m_proofs.required(at(1500ms), 1s, log_position(1, 8)), log_position(1, 8));
    EXPECT_EQ(m_proofs.required(at(1500ms), 1s, log_position(1, 3)), log_position(1, 5));
}

// Guards against a session that waits for ever for a commit that a change of primary cut off.
TEST_F(position_proofs_test, own_commit_of_an_earlier_term_becomes_the_start_of_the_new_one) {
    prove(1s, {1, 9});
    prove(2s, {2, 7});
    prove(2500ms, {2, 8});
    EXPECT_EQ(m_proofs.required(at(2600ms), 1s, log_position(1, 12)), log_position(2, 7));
}

// Guards against an old primary's answer that arrives after the change and counts as proof.
TEST_F(position_proofs_test, proof_of_an_earlier_term_is_ignored) {
    prove(2s, {2, 7});
    prove(3s, {1, 30});
    EXPECT_EQ(m_proofs.newest(), (position_proof{at(2s), {2, 7}}));
}

// Guards against proofs of a term that ended, whose entries may have been rolled back.
TEST_F(position_proofs_test, new_term_drops_the_proofs_of_the_old_one) {
    prove(1s, {1, 9});
    prove(2s, {2, 7});
    EXPECT_EQ(m_proofs.required(at(2100ms), 1500ms, std::nullopt), log_position(2, 7));
}

// Guards against a required position that misses a commit acknowledged before the age began.
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
