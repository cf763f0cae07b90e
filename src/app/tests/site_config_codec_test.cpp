#include "app/internal/site_config_codec.h"

#include "app/internal/config_store.h"
#include "site/site_codec.h"

#include <gtest/gtest.h>

namespace oriole::app {
namespace {

class site_config_codec_test : public testing::Test {
protected:
    site_config_codec_test() {
        site::site_objects::builder builder;
        builder.add(zones::region(region_name{"loopback"}));
        m_objects = builder.build();
        m_chunks = site::encode_site(m_objects);
        const auto digests = site::digests_of(m_chunks);
        m_head = site::encode_head(site::site_head::builder()
                                       .number(1)
                                       .operation_id("op")
                                       .buckets(digests)
                                       .digest(site::digest_of(digests))
                                       .build());
    }

    site::site_objects m_objects;
    site::chunk_texts m_chunks;
    std::string m_head;
    site_config_codec m_codec;
};

// Guards against a small site that is never activated. Its empty buckets have no chunk, so an
// instance that requested one from the platform would wait forever.
TEST_F(site_config_codec_test, site_with_empty_buckets_is_complete_without_their_chunks) {
    config_store store(m_codec);
    ASSERT_TRUE(store.begin_assembly(m_head));
    const auto missing_chunks = store.missing_chunks();
    ASSERT_EQ(missing_chunks.size(), 1U);
    for (const auto& text : m_chunks) {
        if (!text.empty()) {
            EXPECT_TRUE(store.add_chunk(missing_chunks.front(), text));
        }
    }
    ASSERT_TRUE(store.commit());
    EXPECT_EQ(site_config_codec::read_objects(*store.current()), m_objects);
}

} // namespace
} // namespace oriole::app
