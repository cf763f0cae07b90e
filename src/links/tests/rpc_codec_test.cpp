#include "links/internal/rpc_client_codec.h"
#include "links/internal/rpc_server_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

constexpr std::uint64_t request_id = 7;

class rpc_codec_test : public testing::Test {
protected:
    rpc_codec_test() { m_server.add_method("config.offer"); }

    rpc_server_codec m_server;
    std::string m_request = make_rpc_request(request_id, "config.offer", R"({"generation":7})");
};

std::string alter_byte(std::string text) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    return text;
}

void expect_result_or_failure(const std::string& answer) {
    try {
        RC_ASSERT(!read_rpc_result(request_id, "config.offer", answer).empty());
    } catch (const rpc_error& failure) {
        RC_ASSERT(!std::string(failure.what()).empty());
    } catch (const rpc_answer_mismatch& failure) {
        RC_ASSERT(!std::string(failure.what()).empty());
    }
}

// Guards against params or results that are altered by the JSON-RPC library.
TEST_F(rpc_codec_test, known_method_params_and_result_pass_through) {
    const auto call = m_server.read(m_request);
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(*call, (rpc_call{"config.offer", R"({"generation":7})"}));
    const auto answer = m_server.answer(m_request, {false, R"({"generation":8})"});
    EXPECT_EQ(read_rpc_result(request_id, "config.offer", answer), R"({"generation":8})");
}

// Guards against reporting a handler's failure to the caller as a successful call.
TEST_F(rpc_codec_test, failed_handler_reason_reaches_caller) {
    const auto answer = m_server.answer(m_request, {true, "no such generation"});
    try {
        read_rpc_result(request_id, "config.offer", answer);
        FAIL() << "no exception";
    } catch (const rpc_error& failure) {
        EXPECT_NE(std::string(failure.what()).find("no such generation"), std::string::npos);
    }
}

// Guards against unknown methods and batches, which would run without a handler.
TEST_F(rpc_codec_test, unknown_method_or_batch_is_rejected) {
    const auto unknown = make_rpc_request(request_id, "config.drop", "{}");
    EXPECT_FALSE(m_server.read(unknown).has_value());
    EXPECT_THROW(read_rpc_result(request_id, "config.drop", m_server.answer(unknown, {false, "1"})),
                 rpc_error);
    EXPECT_FALSE(m_server.read("[" + m_request + "," + m_request + "]").has_value());
}

// Guards against crashes of the client or server codec on arbitrary or corrupted text.
RC_GTEST_FIXTURE_PROP(rpc_codec_test, altered_text_never_crashes, (const std::string& noise)) {
    const std::string answered = m_server.answer(m_request, {*rc::gen::arbitrary<bool>(), "7"});
    for (const auto& text : {noise, alter_byte(m_request), alter_byte(answered)}) {
        (void)m_server.read(text);
        const std::string answer = m_server.answer(text, {false, "1"});
        expect_result_or_failure(text);
        expect_result_or_failure(answer);
    }
}

// Guards against a stack overflow on deeply nested text.
TEST_F(rpc_codec_test, deeply_nested_text_is_rejected) {
    EXPECT_FALSE(m_server.read(std::string(100'000, '[')).has_value());
    EXPECT_THROW(read_rpc_result(request_id, "config.offer", std::string(100'000, '[')),
                 rpc_answer_mismatch);
}

// Guards against the answer to an earlier request that is taken for the answer to this one.
TEST_F(rpc_codec_test, answer_to_another_request_is_rejected) {
    const auto earlier = make_rpc_request(request_id - 1, "config.offer", "{}");
    const auto answer = m_server.answer(earlier, {false, "1"});
    EXPECT_THROW(read_rpc_result(request_id, "config.offer", answer), rpc_answer_mismatch);
    for (const std::string id : {R"("7")", "null", "-7", "7.5", "[7]", "18446744073709551616"}) {
        const auto odd = R"({"jsonrpc":"2.0","id":)" + id + R"(,"result":1})";
        EXPECT_THROW(read_rpc_result(request_id, "config.offer", odd), rpc_answer_mismatch) << id;
    }
}

// Guards against an answer that cannot be read and is taken for a refusal, after which the caller
// would run its statement again elsewhere.
TEST_F(rpc_codec_test, unreadable_answer_is_not_a_refusal) {
    const std::string refusal = R"({"code":-32603,"message":"busy"})";
    for (const std::string& answer :
         {std::string(), std::string("{"), std::string("7"),
          std::string(R"({"jsonrpc":"2.0","id":7,"error":7})"),
          std::string(R"({"jsonrpc":"2.0","id":7})"),
          std::string(R"({"jsonrpc":"1.0","id":7,"result":1})"),
          R"({"jsonrpc":"2.0","id":7,"result":1,"error":)" + refusal + "}"}) {
        EXPECT_THROW(read_rpc_result(request_id, "config.offer", answer), rpc_answer_mismatch)
            << answer;
    }
}

} // namespace
} // namespace oriole::links
