#include "contracts/key_digest.h"

#include <gtest/gtest.h>

#include <string>

namespace oriole::contracts {
namespace {

class key_digest_test : public testing::Test {
protected:
    [[nodiscard]] std::string with_first(char c) const {
        std::string text = m_abc;
        text.front() = c;
        return text;
    }

    // BLAKE2b-256 of "abc", as computed by other implementations.
    const std::string m_abc = "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319";
};

// Guards against a change of the hash algorithm or digest length, which would invalidate every
// granted key.
TEST_F(key_digest_test, known_text_has_published_digest) {
    EXPECT_EQ(to_hex(digest_of_key("abc")), m_abc);
}

// Guards against a malformed digest in the configuration that is read as another key's digest.
TEST_F(key_digest_test, parse_accepts_only_the_exact_form) {
    EXPECT_EQ(parse_key_digest(m_abc), digest_of_key("abc"));
    EXPECT_FALSE(parse_key_digest(m_abc.substr(1)));
    EXPECT_FALSE(parse_key_digest(m_abc + "0"));
    EXPECT_FALSE(parse_key_digest(with_first('B')));
    EXPECT_FALSE(parse_key_digest(with_first('g')));
    EXPECT_FALSE(parse_key_digest(with_first(' ')));
    EXPECT_FALSE(parse_key_digest(""));
}

} // namespace
} // namespace oriole::contracts
