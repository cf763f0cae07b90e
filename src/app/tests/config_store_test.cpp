#include "app/internal/config_store.h"

#include "app/tests/text_config_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::app {
namespace {

using std::chrono::seconds;

class config_store_test : public testing::Test {
protected:
    bool load(std::uint64_t generation, const std::string& chunk) {
        if (!m_store.begin_assembly(m_codec.make_head(generation, {chunk}))) {
            return false;
        }
        m_store.add_chunk(m_codec.chunk_digest(chunk), chunk);
        return m_store.commit();
    }

    text_config_codec m_codec;
    config_store m_store{m_codec};
    clock::time_point m_now{seconds(100)};
};

// Guards against an instance that reverts to an older configuration when generations arrive out of
// order.
RC_GTEST_FIXTURE_PROP(config_store_test, generations_in_any_order_never_decrease,
                      (const std::vector<std::uint8_t>& generations)) {
    std::uint64_t highest = 0;
    for (const auto generation : generations) {
        const bool moved = load(generation, "chunk " + std::to_string(generation));
        RC_ASSERT(moved == (generation > highest));
        highest = std::max<std::uint64_t>(highest, generation);
        RC_ASSERT(m_store.generation() == highest);
    }
}

// Guards against activating a configuration that is incomplete or was altered in transit.
TEST_F(config_store_test, missing_or_altered_chunk_is_not_committed) {
    ASSERT_TRUE(m_store.begin_assembly(m_codec.make_head(1, {"a", "b"})));
    EXPECT_TRUE(m_store.add_chunk(m_codec.chunk_digest("a"), "a"));
    EXPECT_FALSE(m_store.add_chunk(m_codec.chunk_digest("b"), "altered"));
    EXPECT_FALSE(m_store.commit());
    EXPECT_EQ(m_store.missing_chunks(), std::vector{m_codec.chunk_digest("b")});
    EXPECT_TRUE(m_store.add_chunk(m_codec.chunk_digest("b"), "b"));
    EXPECT_TRUE(m_store.commit());
}

// Guards against fetching the whole configuration when only one object has changed.
TEST_F(config_store_test, unchanged_chunks_are_kept) {
    ASSERT_TRUE(load(1, "a"));
    ASSERT_TRUE(m_store.begin_assembly(m_codec.make_head(2, {"a", "b"})));
    EXPECT_EQ(m_store.missing_chunks(), std::vector{m_codec.chunk_digest("b")});
}

// Guards against a wrong confirmation time, taken from a confirmation of another generation or from
// one that is older than the last.
TEST_F(config_store_test, confirmation_of_other_generation_or_older_time_is_ignored) {
    ASSERT_TRUE(load(1, "a"));
    m_store.confirm_fresh(2, m_now);
    EXPECT_EQ(m_store.fresh_as_of(), std::nullopt);
    m_store.confirm_fresh(1, m_now);
    m_store.confirm_fresh(1, m_now - seconds(5));
    EXPECT_EQ(m_store.fresh_as_of(), m_now);
    EXPECT_EQ(m_store.summary(m_now + seconds(3)).age, seconds(3));
    ASSERT_TRUE(load(2, "b"));
    EXPECT_EQ(m_store.fresh_as_of(), std::nullopt);
}

} // namespace
} // namespace oriole::app
