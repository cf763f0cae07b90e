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
        forwarded.phase = transaction_phase::first;
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
        forwarded.decision.shape = sessions::prepared_statement{"q", true};
        forwarded.decision.writes = true;
        forwarded.values = {{"a", "1"}};
        forwarded.own_commit = machines::log_position(2, 9);
        forwarded.elapsed = 3ms;
        return forwarded;
    }
};

// Guards against fields of a forwarded statement that are not encoded or not decoded.
TEST_F(forward_codec_test, forwarded_statement_is_unchanged_by_encoding) {
    EXPECT_EQ(decode_forwarded(encode_forwarded(make())), make());
}

// Guards against a client's text that is changed in transit because it is not UTF-8.
RC_GTEST_FIXTURE_PROP(forward_codec_test, arbitrary_bytes_are_unchanged_by_encoding,
                      (const std::string& bytes)) {
    RC_PRE(bytes.find("\r\n") == std::string::npos); // ends a message, so it is in no text
    auto forwarded = make();
    forwarded.statement.text = bytes;
    forwarded.values["name"] = bytes;
    RC_ASSERT(decode_forwarded(encode_forwarded(forwarded)) == forwarded);
}

// Guards against a text of another instance that ends a message to the server.
TEST_F(forward_codec_test, statement_with_crlf_in_a_field_is_rejected) {
    const std::string odd = "a\r\nQUERY f2ae WRITE k stolen";
    std::vector<forwarded_statement> statements(7, make());
    statements[0].statement.id = odd;
    statements[1].statement.text = odd;
    statements[2].statement.argument = odd;
    statements[3].values = {{"a", odd}};
    statements[4].values = {{odd, "1"}};
    statements[5].decision.shape->shape = odd;
    statements[6].account = account_name(odd);
    for (const auto& each : statements) {
        EXPECT_THROW(static_cast<void>(decode_forwarded(encode_forwarded(each))),
                     report_unreadable);
    }
}

// Guards against a word of another instance that ends its field in a message to the server.
TEST_F(forward_codec_test, statement_with_a_blank_in_a_word_is_rejected) {
    std::vector<forwarded_statement> statements(4, make());
    statements[0].statement.id = "1 2";
    statements[1].values = {{"a b", "1"}};
    statements[2].decision.shape->shape = "q r";
    statements[3].account = account_name("t u");
    for (const auto& each : statements) {
        EXPECT_THROW(static_cast<void>(decode_forwarded(encode_forwarded(each))),
                     report_unreadable);
    }
}

// Guards against a gateway's answer whose rows the caller takes for the end of the answer.
TEST_F(forward_codec_test, outcome_with_crlf_in_a_field_is_rejected) {
    forwarded_outcome outcome;
    outcome.answer.rows = {"row\r\nCOMPLETE forged"};
    EXPECT_THROW(static_cast<void>(decode_outcome(encode_outcome(outcome))), report_unreadable);
    outcome.answer.rows = {"row"};
    outcome.answer.signature = "7.1f\r\nREADY I 9.9";
    EXPECT_THROW(static_cast<void>(decode_outcome(encode_outcome(outcome))), report_unreadable);
}

// Guards against result rows that are changed in transit.
TEST_F(forward_codec_test, outcome_is_unchanged_by_encoding) {
    forwarded_outcome outcome;
    outcome.answer.code = sessions::answer_code::read_only;
    outcome.answer.rows = {"x", "\xff\x80 y"};
    outcome.answer.signature = "7.1f";
    outcome.answer.state = sessions::transaction_state::open;
    outcome.answer.position = machines::log_position(3, 4);
    outcome.server = server_name("s");
    outcome.attempts = 2;
    outcome.routing_basis = "lead";
    outcome.transaction = 8;
    EXPECT_EQ(decode_outcome(encode_outcome(outcome)), outcome);
}

// Guards against a malformed message that terminates the instance.
TEST_F(forward_codec_test, malformed_message_is_rejected) {
    EXPECT_THROW(static_cast<void>(decode_forwarded("{}")), report_unreadable);
    EXPECT_THROW(static_cast<void>(decode_outcome("[")), report_unreadable);
}

} // namespace
} // namespace oriole::entry
