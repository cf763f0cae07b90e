#include "links/audit_codec.h"
#include "links/usage_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

class usage_codec_test : public testing::Test {
protected:
    [[nodiscard]] static contracts::usage_record record(std::uint64_t requests) {
        const account_name account{"acme"};
        const service_name service{"orders"};
        return {instance_id{"i1"},
                7,
                {{{account, service, contracts::access_mode::read}, {requests, 0.25}},
                 {{account, service, contracts::access_mode::write}, {2, 4}},
                 {{account_name(), service, contracts::access_mode::read}, {1, 1}}}};
    }
};

// Guards against requests that are billed to a wrong account, service or kind, or not at all.
RC_GTEST_FIXTURE_PROP(usage_codec_test, decoding_returns_what_was_encoded,
                      (std::uint64_t requests)) {
    RC_ASSERT(decode_usage_record(encode_usage_record(record(requests))) == record(requests));
}

// Guards against a crash on a corrupted object of the platform.
RC_GTEST_FIXTURE_PROP(usage_codec_test, corrupted_text_is_rejected_or_decoded, ()) {
    std::string text = encode_usage_record(record(3));
    const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
    text[index] = *rc::gen::arbitrary<char>();
    try {
        (void)decode_usage_record(text);
    } catch (const decode_error&) {
        RC_TAG("refused");
    }
}

// Guards against a time format that differs from the one oriolectl writes.
TEST_F(usage_codec_test, audit_times_are_utc_to_the_second) {
    const std::chrono::system_clock::time_point time{std::chrono::seconds(1'000'000'000)};
    EXPECT_EQ(format_utc_time(time), "2001-09-09T01:46:40Z");
}

} // namespace
} // namespace oriole::links
