#include "links/backend_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

using machines::statement_kind;
using nlohmann::json;

class backend_codec_test : public testing::Test {
protected:
    static std::string pack(const json& value) {
        std::string bytes;
        json::to_msgpack(value, bytes);
        return bytes;
    }

    void expect_unreadable(const json& value) {
        EXPECT_THROW((void)m_codec->decode_request(pack(value)), decode_error) << value;
    }

    std::unique_ptr<backend_codec> m_codec = make_msgpack_backend_codec();
};

// Guards against fields that are lost, reordered or narrowed by encoding and decoding.
RC_GTEST_FIXTURE_PROP(backend_codec_test, execute_round_trip_keeps_every_field,
                      (std::uint64_t id, std::uint64_t term, std::string row, std::string value,
                       std::int64_t amount, bool bounded)) {
    execute_request call;
    call.mode = execute_mode::write;
    call.term = term;
    call.statements = {{statement_kind::add, row, value, amount}};
    call.request_id = value;
    if (bounded) {
        call.required = log_position(term, id);
        call.max_age = std::chrono::milliseconds(amount);
    }
    const backend_request request{id, call};
    RC_ASSERT(m_codec->decode_request(m_codec->encode(request)) == request);
}

// Guards against a replica that applies entries other than those its primary sent.
TEST_F(backend_codec_test, fetch_answer_round_trip_keeps_entries) {
    fetch_answer fetched;
    fetched.entries = {
        {log_position(2, 7), {{statement_kind::put, "r", "v", 0}}, "id", {{"r", "v"}}}};
    fetched.last = log_position(2, 9);
    fetched.truncate_to = log_position(1, 3);
    const backend_answer answer{4, fetched};
    EXPECT_EQ(m_codec->decode_answer(m_codec->encode(answer)), answer);
}

// Guards against a message of another version that is decoded with its fields misinterpreted.
TEST_F(backend_codec_test, wrong_fields_are_decode_errors) {
    expect_unreadable({1, 1, json::array()});  // begin without term
    expect_unreadable({1, 1, {1, 2}});         // an unknown field
    expect_unreadable({1, 1, {"1"}});          // a wrong type
    expect_unreadable({1, 1, {-1}});           // out of range
    expect_unreadable({1, 99, json::array()}); // an unknown kind
    expect_unreadable({1, 1, {{"term", 1}}});  // a map
    expect_unreadable({{"id", 1}});            // not an array
}

// Guards against a document whose nesting or declared size exhausts the parser's stack or memory.
TEST_F(backend_codec_test, hostile_document_is_decode_error) {
    const std::string nested(max_backend_message_bytes, '\x91');
    EXPECT_THROW((void)m_codec->decode_request(nested), decode_error);
    const std::string huge_array("\xdd\xff\xff\xff\xff", 5);
    EXPECT_THROW((void)m_codec->decode_request(huge_array), decode_error);
    const std::string oversize(max_backend_message_bytes + 1, '\xc0');
    EXPECT_THROW((void)m_codec->decode_request(oversize), decode_error);
}

// Guards against a truncated answer that is accepted as complete.
RC_GTEST_FIXTURE_PROP(backend_codec_test, any_truncation_is_decode_error, (std::string row)) {
    execute_answer executed;
    executed.results = {{row, row}};
    const std::string bytes = m_codec->encode(backend_answer{3, executed});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        RC_ASSERT_THROWS_AS((void)m_codec->decode_answer({bytes.data(), size}), decode_error);
    }
}

} // namespace
} // namespace oriole::links
