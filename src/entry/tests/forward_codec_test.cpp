#include "entry/forward_codec.h"
#include "entry/peer_report_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class forward_codec_test : public testing::Test {
protected:
    static forwarded_statement make() {
        forwarded_statement forwarded;
        forwarded.place = statement_place::first;
        forwarded.reads_only = true;
        forwarded.transaction = 5;
        forwarded.route.service = service_name("db");
        forwarded.route.policy = fleet::read_policy::own_writes;
        forwarded.route.statement_timeout = 800ms;
        forwarded.account = account_name("t");
        forwarded.statement.id = "17";
        forwarded.statement.text = "EXECUTE s 1";
        forwarded.statement.kind = sessions::statement_kind::execute;
        forwarded.decision.step = sessions::session_step::run;
        forwarded.decision.shape = sessions::prepared_shape{"q", true};
        forwarded.decision.writes = true;
        forwarded.values = {{"a", "1"}};
        forwarded.own_commit = machines::log_position(2, 9);
        forwarded.elapsed = 3ms;
        return forwarded;
    }
};

// Guards against fields that are lost on the way to a gateway.
TEST_F(forward_codec_test, statement_survives_the_way) {
    EXPECT_EQ(decode_forwarded(encode_forwarded(make())), make());
}

// Guards against a caller's text that arrives changed because it is not UTF-8.
RC_GTEST_FIXTURE_PROP(forward_codec_test, any_bytes_survive_the_way, (const std::string& bytes)) {
    auto forwarded = make();
    forwarded.statement.text = bytes;
    forwarded.values["name"] = bytes;
    RC_ASSERT(decode_forwarded(encode_forwarded(forwarded)) == forwarded);
}

// Guards against rows that reach the caller changed.
TEST_F(forward_codec_test, outcome_survives_the_way) {
    forwarded_outcome outcome;
    outcome.answer.code = sessions::answer_code::read_only;
    outcome.answer.rows = {"x", "\xff\x80 y"};
    outcome.answer.signature = "7.1f";
    outcome.answer.state = sessions::transaction_state::open;
    outcome.answer.position = machines::log_position(3, 4);
    outcome.server = server_name("s");
    outcome.attempts = 2;
    outcome.form = "lead";
    outcome.transaction = 8;
    EXPECT_EQ(decode_outcome(encode_outcome(outcome)), outcome);
}

// Guards against an instance that ends because of a message that it cannot read.
TEST_F(forward_codec_test, unreadable_message_is_reported) {
    EXPECT_THROW(static_cast<void>(decode_forwarded("{}")), report_unreadable);
    EXPECT_THROW(static_cast<void>(decode_outcome("[")), report_unreadable);
}

} // namespace
} // namespace oriole::entry
