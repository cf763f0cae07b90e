#include "entry/usage_message_codec.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class usage_message_codec_test : public testing::Test {
protected:
    const usage::entry_key m_key{353445120, instance_id("front-1"), 0x7fffffffffffffffULL};
    const usage::ledger_entry m_entry{m_key, {{account_name("miny420"), 412}}, 500};
    const usage::order_news m_order{353445119, 1ULL << 40U, instance_id("front-2"), 1500ms, true};
};

// Guards against fields that get lost between instances.
TEST_F(usage_message_codec_test, messages_are_read_as_they_were_written) {
    const usage::counts_message counts{{m_entry}, true, m_order};
    EXPECT_EQ(decode_counts(encode_counts(counts)), counts);
    const usage::counts_receipt receipt{{{m_key, 500}}, m_order};
    EXPECT_EQ(decode_receipt(encode_receipt(receipt)), receipt);
    const usage::entries_request request{353445120, {{m_key, 500}}};
    EXPECT_EQ(decode_entries_request(encode_entries_request(request)), request);
    const usage::entries_answer answer{{m_entry}, 353445121};
    EXPECT_EQ(decode_entries_answer(encode_entries_answer(answer)), answer);
    EXPECT_EQ(decode_order_news(encode_order_news(m_order)), m_order);
}

// Guards against exceptions that a caller does not expect.
TEST_F(usage_message_codec_test, other_text_is_refused) {
    EXPECT_THROW(static_cast<void>(decode_counts("{")), report_unreadable);
    EXPECT_THROW(static_cast<void>(decode_receipt("[]")), report_unreadable);
    EXPECT_THROW(static_cast<void>(decode_entries_request(R"({"window":"x"})")), report_unreadable);
    EXPECT_THROW(static_cast<void>(decode_order_news("{}")), report_unreadable);
}

} // namespace
} // namespace oriole::entry
