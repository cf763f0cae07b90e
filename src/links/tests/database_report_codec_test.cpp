#include "links/database_report_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

class database_report_codec_test : public testing::Test {
protected:
    [[nodiscard]] static machines::database_digest digest() {
        machines::database_digest value;
        value.database = database_name{"db-1"};
        value.from = instance_id{"i1"};
        value.term = 3;
        value.primary = server_name{"s1"};
        value.highest_term = 4;
        machines::relayed_report report;
        report.report.server = server_name{"s2"};
        report.report.term = 3;
        report.report.held = {3, 9};
        report.report.applied = {3, 8};
        report.received_ago = std::chrono::milliseconds(40);
        value.reports.push_back(report);
        value.evidence =
            machines::failure_evidence{value.database, server_name{"s1"}, 3, instance_id{"i1"},
                                       std::chrono::milliseconds(450)};
        return value;
    }
};

// Guards against evidence or log positions that are altered by encoding and decoding.
TEST_F(database_report_codec_test, decoding_returns_what_was_encoded) {
    const std::vector<machines::database_digest> digests{digest()};
    EXPECT_EQ(decode_database_report(encode_database_report(digests)), digests);
}

// Guards against a crash on a corrupted message from a faulty peer.
RC_GTEST_FIXTURE_PROP(database_report_codec_test, corrupted_text_is_rejected_or_decoded, ()) {
    std::string text = encode_database_report({digest()});
    const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
    text[index] = *rc::gen::arbitrary<char>();
    try {
        (void)decode_database_report(text);
    } catch (const decode_error&) {
        RC_TAG("refused");
    }
}

} // namespace
} // namespace oriole::links
